// The text format of a preset, which is a JSON document. Parsing is strict,
// because a preset that is only partly understood would be applied in part:
// unknown keys, duplicate keys, wrong types, invalid UTF-8, NaN, deep nesting
// and oversized texts are errors, and all errors are reported together.
#ifndef FIREFLYSPAR_CONFIG_PRESET_TEXT_H_
#define FIREFLYSPAR_CONFIG_PRESET_TEXT_H_

#include <string>
#include <string_view>
#include <variant>

#include "config/fault.h"
#include "config/preset.h"

namespace fireflyspar::config {

// Parses and validates a preset (syntax, then `Validate`). Returns the preset,
// or all errors if there are any.
std::variant<preset, validation_errors> ParsePreset(std::string_view text);

// Returns the canonical text. Equal presets yield the same bytes, so the hash
// of the text identifies the preset's content.
std::string ToText(const preset& value);

}  // namespace fireflyspar::config

#endif  // FIREFLYSPAR_CONFIG_PRESET_TEXT_H_
