// The text form of a preset: one JSON document. Reading is strict, since a
// preset that is half understood would be applied in part: unknown keys,
// duplicate keys, wrong types, bad UTF-8, NaN, deep nesting and oversized texts
// are each a fault, and all faults are reported together.
#ifndef FIREFLYSPAR_CONFIG_PRESET_TEXT_H_
#define FIREFLYSPAR_CONFIG_PRESET_TEXT_H_

#include <string>
#include <string_view>
#include <variant>

#include "config/fault.h"
#include "config/preset.h"

namespace fireflyspar::config {

// Reads and fully checks a preset (syntax, then `Validate`). The preset is
// given only when there is no fault at all.
std::variant<preset, faults> ParsePreset(std::string_view text);

// The canonical text: the same preset always gives the same bytes, so that its
// hash names its content.
std::string ToText(const preset& value);

}  // namespace fireflyspar::config

#endif  // FIREFLYSPAR_CONFIG_PRESET_TEXT_H_
