// Operators' commands for presets: store one, list and show them, and choose
// the one in force. The choice is a single compare-and-set of one small object,
// so that exactly one preset is in force at any moment and exactly one of two
// racing operators succeeds; the other gets a failure that names the winner's
// choice.
#ifndef FIREFLYSPAR_OPERATORS_PRESET_COMMANDS_H_
#define FIREFLYSPAR_OPERATORS_PRESET_COMMANDS_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/fault.h"
#include "operators/context.h"
#include "platform/object_formats.h"

namespace fireflyspar::operators {

struct stored_preset {
  std::string name;
  std::string hash;  // Hash of its canonical text.
  std::size_t bytes = 0;

  bool operator==(const stored_preset&) const = default;
};

// Stores a valid preset under its name, replacing an older one of that name.
// Does not change what is in force.
base::result<stored_preset> PutPreset(const context& ctx,
                                      const config::preset& value);

base::result<std::vector<stored_preset>> ListPresets(const context& ctx);

// Returns the canonical text of the stored preset.
base::result<std::string> ShowPreset(const context& ctx, std::string_view name);

// Returns the canonical text in force; fails with kNotFound if no preset was
// ever chosen.
base::result<std::string> ShowInForce(const context& ctx);

// Returns the record of what is in force, or nothing if no preset was ever
// chosen.
base::result<std::optional<platform::in_force>> ReadInForce(const context& ctx);

// Puts the stored preset in force under the next version. Fails with kConflict,
// naming the winner's version and preset, if another operator's choice took
// effect first, and with kResponseLost only if the outcome is unknown.
base::result<platform::in_force> UsePreset(const context& ctx,
                                           std::string_view name);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_PRESET_COMMANDS_H_
