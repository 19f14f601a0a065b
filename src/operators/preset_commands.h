// What operators do with presets: store one, look at them, and choose the one
// in force. Choosing is a single compare-and-set of one small object, so that
// exactly one preset is in force at any moment and of two racing operators
// exactly one wins; the other is told who did.
#ifndef FIREFLYSPAR_OPERATORS_PRESET_COMMANDS_H_
#define FIREFLYSPAR_OPERATORS_PRESET_COMMANDS_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/fault.h"
#include "operators/context.h"
#include "platform/records.h"

namespace fireflyspar::operators {

struct stored_preset {
  std::string name;
  std::string hash;  // Of its canonical text.
  std::size_t bytes = 0;

  bool operator==(const stored_preset&) const = default;
};

// Stores a checked preset under its name, over an older one of that name. What
// is in force stays as it is.
base::result<stored_preset> PutPreset(const context& with,
                                      const config::preset& value);

base::result<std::vector<stored_preset>> ListPresets(const context& with);

// The canonical text of the preset.
base::result<std::string> ShowPreset(const context& with,
                                     std::string_view name);

// The canonical text in force; kNotFound when no preset was ever chosen.
base::result<std::string> ShowInForce(const context& with);

// What is in force; nothing when no preset was ever chosen.
base::result<std::optional<platform::in_force>> ReadInForce(
    const context& with);

// Puts the stored preset in force under the next version. Fails with kConflict,
// naming the winner's version and preset, when another operator's choice came
// first, and with kAnswerLost only when the outcome could not be learned.
base::result<platform::in_force> UsePreset(const context& with,
                                           std::string_view name);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_PRESET_COMMANDS_H_
