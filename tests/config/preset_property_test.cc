#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "config/preset_text.h"
#include "config/validate.h"
#include "presets.h"

namespace fireflyspar::config {
namespace {

// Returns the text of a valid preset with a few bytes replaced.
std::string CorruptedText() {
  std::string text = ToText(*ArbitraryPreset());
  const int changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes; ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto length = *rc::gen::inRange<std::size_t>(0, 4);
    text.replace(at, length, *rc::gen::arbitrary<std::string>());
    if (text.empty()) text = "{";
  }
  return text;
}

TEST_CASE("formatting and parsing any valid preset returns the same preset") {
  CHECK(rc::check([] {
    const preset value = *ArbitraryPreset();
    RC_ASSERT(Validate(value).empty());
    const std::string text = ToText(value);
    const auto parsed = ParsePreset(text);
    RC_ASSERT(std::holds_alternative<preset>(parsed));
    RC_ASSERT(std::get<preset>(parsed) == value);
    RC_ASSERT(ToText(std::get<preset>(parsed)) == text);
  }));
}

TEST_CASE("a text with changed bytes is refused or is a valid preset") {
  CHECK(rc::check([] {
    const std::string text = CorruptedText();
    const auto parsed = ParsePreset(text);
    if (const auto* value = std::get_if<preset>(&parsed)) {
      RC_ASSERT(Validate(*value).empty());
      RC_ASSERT(std::get<preset>(ParsePreset(ToText(*value))) == *value);
    } else {
      RC_ASSERT(!std::get<validation_errors>(parsed).empty());
    }
  }));
}

}  // namespace
}  // namespace fireflyspar::config
