#include "operators/preset_commands.h"

#include <catch2/catch.hpp>

#include "base/hash.h"
#include "config/preset_text.h"
#include "examples.h"
#include "fake_platform.h"

namespace fireflyspar::operators {
namespace {

using base::error_kind;

TEST_CASE("a stored preset is put in force under increasing versions") {
  fake_platform store;
  const context alice = store.Operator("alice", 1);
  REQUIRE(PutPreset(alice, SmallPreset("ordinary")));
  REQUIRE(PutPreset(alice, SmallPreset("peak")));
  const auto listed = ListPresets(alice);
  REQUIRE(listed);
  REQUIRE(listed->size() == 2);
  CHECK((*listed)[0].name == "ordinary");
  CHECK((*listed)[1].name == "peak");

  CHECK(UsePreset(alice, "ordinary")->id.version == 1);
  CHECK(UsePreset(alice, "peak")->id.version == 2);
  const auto again = UsePreset(alice, "ordinary");
  REQUIRE(again);
  CHECK(again->id.version == 3);

  const auto current = ReadInForce(alice);
  REQUIRE(current);
  CHECK(*current == *again);
  const auto snapshot = store.objects.find(
      std::string(platform::kSnapshotPrefix) + again->id.hash);
  REQUIRE(snapshot != store.objects.end());
  CHECK(snapshot->second.value == ToText(SmallPreset("ordinary")));
}

TEST_CASE("choosing a preset that is not stored changes nothing") {
  fake_platform store;
  const auto used = UsePreset(store.Operator("alice", 1), "peak");
  REQUIRE_FALSE(used);
  CHECK(used.Failure().Kind() == error_kind::kNotFound);
  CHECK(store.objects.empty());
}

TEST_CASE("one of two racing operators wins, the conflict names its choice") {
  fake_platform store;
  const context alice = store.Operator("alice", 1);
  const context bob = store.Operator("bob", 2);
  REQUIRE(PutPreset(alice, SmallPreset("ordinary")));
  REQUIRE(PutPreset(alice, SmallPreset("peak")));
  bool bob_acted = false;
  store.inject_fault = [&](call_kind call, std::string_view key) {
    if (call == call_kind::kPut && key == platform::kInForceKey && !bob_acted) {
      bob_acted = true;
      REQUIRE(UsePreset(bob, "peak"));
    }
    return call_fault::kNone;
  };
  const auto lost = UsePreset(alice, "ordinary");
  REQUIRE_FALSE(lost);
  CHECK(lost.Failure().Kind() == error_kind::kConflict);
  CHECK(lost.Failure().detail.find("version 1, preset 'peak'") !=
        std::string::npos);
  CHECK((*ReadInForce(alice))->preset == "peak");
}

}  // namespace
}  // namespace fireflyspar::operators
