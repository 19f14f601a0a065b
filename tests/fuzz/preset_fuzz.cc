// libFuzzer target for presets. Parsing arbitrary bytes yields either errors or
// a valid preset, and parsing the canonical text of that preset yields the same
// preset.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <variant>

#include "config/preset_text.h"
#include "config/validate.h"

namespace config = fireflyspar::config;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto parsed = config::ParsePreset(text);
  if (const auto* errors = std::get_if<config::validation_errors>(&parsed)) {
    if (errors->empty()) std::abort();
    return 0;
  }
  const auto& value = std::get<config::preset>(parsed);
  const auto again = config::ParsePreset(ToText(value));
  const auto* same = std::get_if<config::preset>(&again);
  if (!config::Validate(value).empty() || same == nullptr || *same != value) {
    std::abort();
  }
  return 0;
}
