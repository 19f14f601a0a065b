#include "config/preset_text.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "base/hash.h"
#include "config/snapshot.h"

namespace fireflyspar::config {
namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

std::string ExampleText() {
  return ReadFile(std::filesystem::path(FIREFLYSPAR_SOURCE_DIR) /
                  "examples/kyushu/ordinary.json");
}

std::string Describe(const validation_errors& found) {
  std::string text;
  for (const validation_error& each : found) {
    text += each.pointer + " | " + each.value + " | " + each.expected + "\n";
  }
  return text;
}

// Returns the errors of `text`; empty if it is a valid preset.
validation_errors ErrorsOf(std::string_view text) {
  const auto parsed = ParsePreset(text);
  const auto* found = std::get_if<validation_errors>(&parsed);
  return found == nullptr ? validation_errors{} : *found;
}

std::string Replaced(std::string text, std::string_view from,
                     std::string_view to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

bool HasErrorAt(const validation_errors& found, std::string_view pointer) {
  return std::ranges::find(found, pointer, &validation_error::pointer) !=
         found.end();
}

TEST_CASE("every example parses and its canonical text is stable") {
  const auto examples =
      std::filesystem::path(FIREFLYSPAR_SOURCE_DIR) / "examples";
  int count = 0;
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(examples)) {
    if (entry.path().extension() != ".json") continue;
    ++count;
    INFO(entry.path().string());
    const std::string source = ReadFile(entry.path());
    const auto parsed = ParsePreset(source);
    INFO(Describe(ErrorsOf(source)));
    REQUIRE(std::holds_alternative<preset>(parsed));
    const std::string text = ToText(std::get<preset>(parsed));
    const auto again = ParsePreset(text);
    REQUIRE(std::holds_alternative<preset>(again));
    CHECK(std::get<preset>(again) == std::get<preset>(parsed));
    CHECK(ToText(std::get<preset>(again)) == text);
  }
  CHECK(count >= 6);
}

TEST_CASE("the text of a snapshot must match its hash and be valid") {
  const std::string text = ExampleText();
  const version_id id{.version = 7, .hash = base::ContentHash(text)};
  const auto made = MakeSnapshot(id, text);
  REQUIRE(made);
  CHECK((*made)->id == id);
  CHECK((*made)->content.name == "ordinary");

  const auto changed = MakeSnapshot(id, text + " ");
  REQUIRE_FALSE(changed);
  CHECK(changed.Failure().Kind() == base::error_kind::kMalformedMessage);

  const std::string bad = Replaced(text, "\"percent\": 100", "\"percent\": 99");
  const auto invalid =
      MakeSnapshot({.version = 8, .hash = base::ContentHash(bad)}, bad);
  REQUIRE_FALSE(invalid);
  CHECK(invalid.Failure().Kind() == base::error_kind::kBadPreset);
}

// Lenient JSON parsers accept some of these texts, such as the one with a
// duplicate key.
TEST_CASE(
    "malformed, ambiguous or non-preset JSON is an error with its pointer") {
  const std::string good = ExampleText();
  struct bad_text {
    std::string text;
    std::string_view pointer;
  };
  const std::array cases = {
      bad_text{Replaced(good, "\"percent\": 100",
                        "\"percent\": 100, \"percent\": 100"),
               "/services/0/versions/0/percent"},
      bad_text{Replaced(good, "\"percent\": 100", "\"percent\": 1e999"),
               "/services/0/versions/0"},
      bad_text{Replaced(good, "\"percent\": 100", "\"percent\": NaN"),
               "/services/0/versions/0"},
      bad_text{Replaced(good, "\"percent\": 100", "\"percent\": \"100\""),
               "/services/0/versions/0/percent"},
      bad_text{Replaced(good, "\"percent\": 100", "\"percent\": 100.5"),
               "/services/0/versions/0/percent"},
      bad_text{Replaced(good, "\"percent\": 100",
                        "\"percent\": 18446744073709551716"),
               "/services/0/versions/0/percent"},
      bad_text{Replaced(good, "Ordinary days", "\xC3\x28"), ""},
      bad_text{Replaced(good, "\"percent\": 100", "\"per/c~t\": 1"),
               "/services/0/versions/0/per~1c~0t"},
      bad_text{Replaced(good, "\"schema_version\": 1", "\"schema_version\": 2"),
               "/schema_version"},
      bad_text{std::string(100'000, '['), "/0/0/0/0/0/0/0/0/0/0/0/0/0/0/0/0"},
      bad_text{std::string(kMaxPresetBytes + 1, ' '), ""},
      bad_text{good + "{}", ""},
      bad_text{good.substr(0, good.find("\"percent\"")),
               "/services/0/versions/0"},
      bad_text{"", ""},
      bad_text{"null", ""},
  };
  for (const bad_text& each : cases) {
    INFO(each.text.substr(0, 300));
    const validation_errors found = ErrorsOf(each.text);
    INFO(Describe(found));
    REQUIRE_FALSE(found.empty());
    CHECK(HasErrorAt(found, each.pointer));
    CHECK(std::ranges::all_of(found, [](const validation_error& one) {
      return one.value.size() <= 200 && !one.expected.empty();
    }));
  }
}

}  // namespace
}  // namespace fireflyspar::config
