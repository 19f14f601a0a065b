#include "operators/snapshot_store.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "config/snapshot.h"
#include "examples.h"
#include "fake_platform.h"
#include "operators/preset_commands.h"

namespace fireflyspar::operators {
namespace {

std::size_t CountWithPrefix(const fake_platform& store,
                            std::string_view prefix) {
  return static_cast<std::size_t>(std::ranges::count_if(
      store.objects,
      [&](const auto& each) { return each.first.starts_with(prefix); }));
}

// Returns whether the snapshot in force is stored and matches its hash, or no
// preset is in force.
bool InForceIsValid(const fake_platform& store) {
  const auto object = store.objects.find(platform::kInForceKey);
  if (object == store.objects.end()) return true;
  const auto current = platform::ParseInForce(object->second.value);
  if (!current) return false;
  const auto text = store.objects.find(std::string(platform::kSnapshotPrefix) +
                                       current->id.hash);
  return text != store.objects.end() &&
         config::MakeSnapshot(current->id, text->second.value).Ok();
}

constexpr int kPresets = 12;

void PutPresets(const context& ctx) {
  for (int i = 0; i < kPresets; ++i) {
    REQUIRE(PutPreset(ctx, SmallPreset("p" + std::to_string(i))));
  }
}

TEST_CASE("unneeded snapshots are removed, the one in force is kept") {
  fake_platform store;
  context alice = store.Operator("alice", 1);
  alice.audit.segment_bytes = 1000;
  PutPresets(alice);
  for (int i = 0; i < kPresets; ++i) {
    REQUIRE(UsePreset(alice, "p" + std::to_string(i)));
    REQUIRE(InForceIsValid(store));
  }
  CHECK(CountWithPrefix(store, platform::kSnapshotPrefix) < kPresets);
  // After a long time without choices, the snapshot in force is still stored.
  for (int i = 0; i < 100; ++i) REQUIRE(PutPreset(alice, SmallPreset("p0")));
  CHECK(InForceIsValid(store));
  CHECK(CountWithPrefix(store, platform::kSnapshotPrefix) == 1);
}

TEST_CASE("no snapshot is removed while another operator's choice needs it") {
  constexpr std::uint64_t kSeeds = 150;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    fake_platform store;
    context alice = store.Operator("alice", seed);
    alice.audit.segment_bytes = 500;
    context bob = store.Operator("bob", seed + kSeeds);
    bob.audit = alice.audit;
    PutPresets(alice);
    const auto draw = base::SeededRandom(seed);
    const auto random_preset = [&] {
      return "p" + std::to_string(draw() % kPresets);
    };
    bool bob_is_acting = false;
    store.inject_fault = [&](call_kind, std::string_view) {
      // Must hold before each call, not only after a complete choice.
      REQUIRE(InForceIsValid(store));
      if (draw() % 8 == 0 && !bob_is_acting) {
        bob_is_acting = true;
        if (draw() % 2 == 0) {
          (void)UsePreset(bob, random_preset());
        } else {
          (void)PutPreset(bob, SmallPreset("p0"));
        }
        bob_is_acting = false;
      }
      return call_fault::kNone;
    };
    for (int i = 0; i < 10; ++i) (void)UsePreset(alice, random_preset());
    CHECK(InForceIsValid(store));
  }
}

}  // namespace
}  // namespace fireflyspar::operators
