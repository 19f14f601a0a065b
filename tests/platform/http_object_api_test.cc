#include "platform/http_object_api.h"

#include <catch2/catch.hpp>
#include <future>
#include <string>

#include "platform_fixture.h"

namespace fireflyspar::platform {
namespace {

using base::error_kind;
using std::chrono::milliseconds;

TEST_CASE("an object is created, read, changed, listed and removed") {
  platform_fixture f;
  const auto created = f.api.put("presets/a b?/ü", "one", 0);
  REQUIRE(created);
  CHECK(f.api.get("presets/a b?/ü")->value == "one");
  const auto changed = f.api.put("presets/a b?/ü", "two", *created);
  REQUIRE(changed);
  CHECK(*changed > *created);
  REQUIRE(f.api.put("roster/fukuoka", "x", 0));
  const auto listed = f.api.list("presets/");
  REQUIRE(listed);
  REQUIRE(listed->size() == 1);
  CHECK(listed->front() == object{"presets/a b?/ü", *changed, "two"});
  CHECK(f.api.remove("presets/a b?/ü", *changed));
  CHECK(f.api.get("presets/a b?/ü").Failure().Kind() == error_kind::kNotFound);
}

TEST_CASE(
    "a write on another version conflicts and reports the current version") {
  platform_fixture f;
  REQUIRE(f.api.put("k", "one", 0));
  const auto again = f.api.put("k", "two", 0);
  REQUIRE_FALSE(again);
  CHECK(again.Failure().Kind() == error_kind::kConflict);
  CHECK(again.Failure().detail.find("\"version\":1") != std::string::npos);
  CHECK(f.api.get("k")->value == "one");
}

TEST_CASE("a value over a megabyte is refused before it is sent") {
  platform_fixture f;
  const auto put = f.api.put("k", std::string(1'000'001, 'x'), 0);
  REQUIRE_FALSE(put);
  CHECK(put.Failure().Kind() == error_kind::kTooLarge);
  CHECK(f.api.put("k", std::string(1'000'000, 'x'), 0));
}

TEST_CASE("a watch waits for the next change below its prefix") {
  platform_fixture f;
  const auto first = f.api.put("watched/a", "one", 0);
  REQUIRE(first);
  auto waiting = std::async(std::launch::async, [&] {
    return f.api.watch("watched/", *first, milliseconds{30'000});
  });
  REQUIRE(f.api.put("audit/1", "not watched", 0));
  REQUIRE(f.api.put("watched/b", "two", 0));
  const auto changed = waiting.get();
  REQUIRE(changed);
  REQUIRE(changed->size() == 1);
  CHECK(changed->front().key == "watched/b");
}

TEST_CASE("a watch reports a removal by an empty value") {
  platform_fixture f;
  const auto put = f.api.put("watched/a", "one", 0);
  REQUIRE(f.api.remove("watched/a", *put));
  const auto changed = f.api.watch("watched/", *put, milliseconds{30'000});
  REQUIRE(changed);
  REQUIRE(changed->size() == 1);
  CHECK(changed->front().value.empty());
  CHECK(changed->front().version > *put);
}

TEST_CASE("a watch without changes returns an empty list") {
  platform_fixture f;
  const auto changed = f.api.watch("watched/", 0, milliseconds{1});
  REQUIRE(changed);
  CHECK(changed->empty());
}

TEST_CASE("a refused connection proves that nothing was written") {
  platform_fixture f;
  f.stand_in.Stop();
  CHECK(f.api.put("k", "v", 0).Failure().Kind() ==
        error_kind::kPlatformUnavailable);
  CHECK(f.api.get("k").Failure().Kind() == error_kind::kPlatformUnavailable);
}

TEST_CASE("a write whose answer is lost may have taken effect") {
  platform_fixture f;
  const object_api short_timeout_api = f.Client(milliseconds{200});
  f.stand_in.SetFaults({.lose_answers = 1});
  CHECK(short_timeout_api.put("k", "operation-7", 0).Failure().Kind() ==
        error_kind::kResponseLost);
  CHECK(f.api.get("k")->value == "operation-7");
}

TEST_CASE("on a hung platform reads are unavailable and writes may have run") {
  platform_fixture f;
  const object_api short_timeout_api = f.Client(milliseconds{100});
  f.stand_in.SetFaults({.hang = true});
  CHECK(short_timeout_api.get("k").Failure().Kind() ==
        error_kind::kPlatformUnavailable);
  CHECK(short_timeout_api.put("k", "v", 0).Failure().Kind() ==
        error_kind::kResponseLost);
  f.stand_in.SetFaults({});
  CHECK(f.api.get("k").Failure().Kind() == error_kind::kNotFound);
}

TEST_CASE("a slow platform answers within the timeout") {
  platform_fixture f;
  f.stand_in.SetFaults({.slow_ms = 50});
  CHECK(f.api.put("k", "v", 0));
  CHECK(f.api.get("k")->value == "v");
}

TEST_CASE("a platform that is down answers neither reads nor writes") {
  platform_fixture f;
  f.stand_in.SetFaults({.down = true});
  CHECK(f.api.get("k").Failure().Kind() == error_kind::kPlatformUnavailable);
  CHECK(f.api.put("k", "v", 0).Failure().Kind() == error_kind::kResponseLost);
}

TEST_CASE("calls over the platform's rate limit fail with that error") {
  platform_fixture f;
  f.stand_in.SetFaults({.reads_per_second = -1});
  CHECK(f.api.get("k").Failure().Kind() == error_kind::kPlatformOverRate);
  CHECK(f.api.put("k", "v", 0));
  f.stand_in.SetFaults({.writes_per_second = -1});
  CHECK(f.api.get("k"));
  CHECK(f.api.put("k", "v", 1).Failure().Kind() ==
        error_kind::kPlatformOverRate);
  CHECK(f.stand_in.Stats().rate_limited == 2);
}

TEST_CASE("an interrupt ends a watch on a hung platform") {
  platform_fixture f;
  f.stand_in.SetFaults({.hang = true});
  auto waiting = std::async(std::launch::async, [&] {
    return f.api.watch("watched/", 0, milliseconds{3'600'000});
  });
  f.api.interrupt();
  CHECK(waiting.get().Failure().Kind() == error_kind::kCancelled);
}

TEST_CASE("calls and bytes are counted by kind and direction") {
  platform_fixture f;
  REQUIRE(f.api.put("k", std::string(1000, 'x'), 0));
  REQUIRE(f.api.get("k"));
  const auto count = [&](std::string_view name, std::string_view labels) {
    return f.metrics.Counter(name, labels).load();
  };
  CHECK(count("fireflyspar_platform_calls_total", R"(call="put")") == 1);
  CHECK(count("fireflyspar_platform_calls_total", R"(call="get")") == 1);
  CHECK(count("fireflyspar_control_bytes_total",
              R"(seam="platform",direction="sent")") > 1000);
  CHECK(count("fireflyspar_control_bytes_total",
              R"(seam="platform",direction="received")") > 1000);
}

}  // namespace
}  // namespace fireflyspar::platform
