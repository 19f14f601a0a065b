#include "config/validate.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <functional>

#include "config/preset_text.h"
#include "presets.h"

namespace fireflyspar::config {
namespace {

using std::chrono::milliseconds;

struct mutation {
  std::string_view pointer;  // Location of the error that the change causes.
  std::function<void(preset&)> apply;
};

std::string Describe(const validation_errors& found) {
  std::string text;
  for (const validation_error& each : found) {
    text += each.pointer + " | " + each.value + " | " + each.expected + "\n";
  }
  return text;
}

// Returns a route to the first service, in addition to those of LargePreset.
route ExtraRoute(visibility visible_from, const std::string& path) {
  return {.name = "extra",
          .path_prefix = path,
          .service = "service-0",
          .visible_from = visible_from};
}

TEST_CASE("each invalid value causes exactly one error, at its pointer") {
  REQUIRE(Validate(LargePreset(2)).empty());
  const std::array mutations = {
      mutation{"/schema_version", [](preset& p) { p.schema_version = 2; }},
      mutation{"/schema_version", [](preset& p) { p.schema_version = 0; }},
      mutation{"/name", [](preset& p) { p.name = ""; }},
      mutation{"/name", [](preset& p) { p.name = "a/b"; }},
      mutation{"/name", [](preset& p) { p.name = "..\n"; }},
      mutation{"/name", [](preset& p) { p.name = std::string(101, 'a'); }},
      mutation{"/description", [](preset& p) { p.description = "\xC3\x28"; }},
      mutation{"/data_centres", [](preset& p) { p.data_centres.clear(); }},
      mutation{"/data_centres/2",
               [](preset& p) { p.data_centres[2] = p.data_centres[0]; }},
      mutation{"/services/1/name",
               [](preset& p) {
                 p.services.push_back(p.services[0]);
                 std::swap(p.services[1], p.services[2]);
               }},
      mutation{"/services/0/versions",
               [](preset& p) { p.services[0].versions[1].percent = 1; }},
      mutation{"/services/0/versions",
               [](preset& p) { p.services[0].versions[0].percent = 99; }},
      mutation{"/services/0/versions/1/version",
               [](preset& p) { p.services[0].versions[1].version = "v1"; }},
      mutation{"/services/0/max_calls_per_second",
               [](preset& p) { p.services[0].max_calls_per_second = -1; }},
      mutation{"/services/0/max_in_flight_per_caller",
               [](preset& p) { p.services[0].max_in_flight_per_caller = -1; }},
      mutation{"/services/0/timeout_ms",
               [](preset& p) { p.services[0].timeout = milliseconds(0); }},
      mutation{"/services/0/retries/max_attempts",
               [](preset& p) { p.services[0].retries.max_attempts = 0; }},
      mutation{"/services/0/retries/budget_percent",
               [](preset& p) { p.services[0].retries.budget_percent = 101; }},
      mutation{"/routes/3/service",
               [](preset& p) { p.routes[3].service = "gone"; }},
      mutation{"/routes/1/name",
               [](preset& p) { p.routes[1].name = p.routes[0].name; }},
      mutation{"/routes/0/path_prefix",
               [](preset& p) { p.routes[0].path_prefix = "service-0"; }},
      mutation{"/routes/0/path_prefix",
               [](preset& p) { p.routes[0].path_prefix = "/a/../b"; }},
      mutation{"/routes/0/path_prefix",
               [](preset& p) { p.routes[0].path_prefix = "/a/"; }},
      mutation{"/routes/0/methods/1",
               [](preset& p) { p.routes[0].methods.emplace_back("GET"); }},
      mutation{"/routes/0/methods/1",
               [](preset& p) { p.routes[0].methods.emplace_back("post"); }},
      mutation{"/routes/0/headers/0/name",
               [](preset& p) { p.routes[0].headers = {{"X-Depot", "1"}}; }},
      mutation{
          "/routes/0/headers/0/value",
          [](preset& p) { p.routes[0].headers = {{"x-depot", "a\r\nb"}}; }},
      mutation{"/routes/0/timeout_ms",
               [](preset& p) { p.routes[0].timeout = milliseconds(-1); }},
      mutation{"/moves/max_unproven_percent",
               [](preset& p) { p.moves.max_unproven_percent = 0; }},
      mutation{"/moves/bake_s",
               [](preset& p) { p.moves.bake = std::chrono::seconds(-1); }},
  };
  for (const mutation& each : mutations) {
    preset value = LargePreset(2);
    each.apply(value);
    const validation_errors found = Validate(value);
    INFO(each.pointer << "\n" << Describe(found));
    REQUIRE(found.size() == 1);
    CHECK(found[0].pointer == each.pointer);
  }
}

TEST_CASE("all errors are reported in one pass") {
  preset value = LargePreset(2);
  value.name = "Not A Name";
  value.services[0].timeout = milliseconds(0);
  value.services[1].versions[0].percent = 50;
  value.routes[3].service = "gone";
  CHECK(Validate(value).size() == 4);
}

TEST_CASE("a route is an error if an earlier route takes all its calls") {
  preset value = LargePreset(2);
  // The first route, for GET requests on "/service-0", covers this one.
  route hidden = ExtraRoute(visibility::kOutside, "/service-0/x");
  hidden.methods = {"GET"};
  value.routes.push_back(hidden);
  const validation_errors found = Validate(value);
  INFO(Describe(found));
  REQUIRE(found.size() == 1);
  CHECK(found[0].pointer == "/routes/4");

  // The route takes calls if it comes first, has a method that the other route
  // lacks or a path outside the other route's prefix, or if the other route
  // requires a header that it does not. "/service-0x" is another segment.
  value.routes.back().methods = {"GET", "PUT"};
  CHECK(Validate(value).empty());
  value.routes.back().path_prefix = "/service-0x";
  value.routes.back().methods = {"GET"};
  CHECK(Validate(value).empty());
}

TEST_CASE("an outside route must not expose an inside-only path") {
  const route inside = ExtraRoute(visibility::kInside, "/service-0/tallies");
  preset after = LargePreset(1);
  after.routes.push_back(inside);
  const validation_errors found = Validate(after);
  INFO(Describe(found));
  REQUIRE(found.size() == 1);
  CHECK(found[0].pointer == "/routes/2");

  preset before = LargePreset(1);
  before.routes.insert(before.routes.begin(), inside);
  CHECK(Validate(before).empty());

  // A header match protects nothing, since an outside caller can omit the
  // header.
  preset by_header = before;
  by_header.routes[0].headers = {{.name = "x-inside", .value = "1"}};
  CHECK(Validate(by_header).size() == 1);

  // The inside route must match all methods of the outside route, here GET.
  preset by_method = before;
  by_method.routes[0].methods = {"POST", "GET"};
  CHECK(Validate(by_method).empty());
  by_method.routes[1].methods = {"GET", "PUT"};
  CHECK(Validate(by_method).size() == 1);
}

TEST_CASE("a preset whose canonical text is too large is refused") {
  preset value = LargePreset(1999);
  REQUIRE(ToText(value).size() > kMaxPresetBytes);
  const validation_errors found = Validate(value);
  REQUIRE(found.size() == 1);
  CHECK(found[0].pointer.empty());
}

}  // namespace
}  // namespace fireflyspar::config
