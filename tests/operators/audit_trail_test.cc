#include "operators/audit_trail.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "config/preset.h"
#include "examples.h"
#include "fake_platform.h"
#include "operators/preset_commands.h"

namespace fireflyspar::operators {
namespace {

constexpr std::size_t kAllEntries = 1'000'000;

audit_entry Entry(const std::string& operation_id) {
  return {.operation_id = operation_id,
          .who = "alice",
          .when = base::instant(std::chrono::seconds(1'700'000'000)),
          .action = audit_action::kUsePreset,
          .from = "version 6, preset 'ordinary'",
          .to = "version 7, preset 'peak'",
          .outcome = audit_outcome::kRefused,
          .detail = "said \"no\"\n\xE7\x81\xAB",
          .key = std::string(platform::kInForceKey),
          .if_version = 12,
          .value_id_before = "a",
          .value_id_after = "b"};
}

TEST_CASE("entries survive formatting and parsing") {
  const std::vector<audit_entry> entries = {Entry("1"), Entry("2")};
  const auto read = ParseEntries(ToText(entries));
  REQUIRE(read);
  CHECK(*read == entries);
  CHECK_FALSE(ParseEntries("{\"entries\":[{}]}"));
  CHECK_FALSE(ParseEntries("{}"));
}

TEST_CASE("the trail stays bounded and keeps the latest entries in order") {
  fake_platform store;
  context alice = store.Operator("alice", 1);
  alice.audit = {.segment_bytes = 2000, .segments = 4};
  constexpr int kEntries = 300;
  for (int i = 0; i < kEntries; ++i) {
    REQUIRE(AppendEntry(alice, Entry(std::to_string(i))));
  }
  std::size_t segments = 0;
  for (const auto& [key, object] : store.objects) {
    CHECK(object.value.size() < config::kMaxPresetBytes);
    if (key != "audit/head") ++segments;
  }
  CHECK(segments == alice.audit.segments);
  const auto trail = ReadTrail(alice, kAllEntries);
  REQUIRE(trail);
  REQUIRE(trail->size() > 8);
  int expected = kEntries - static_cast<int>(trail->size());
  for (const audit_entry& each : *trail) {
    CHECK(each.operation_id == std::to_string(expected++));
  }
  CHECK(ReadTrail(alice, 5)->size() == 5);
  CHECK(ReadTrail(alice, 5)->back().operation_id == "299");
}

TEST_CASE("lost responses and races leave no missing or duplicate entries") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    INFO("seed " << seed);
    fake_platform store;
    context alice = store.Operator("alice", seed);
    alice.audit.segment_bytes = 2000;
    context bob = store.Operator("bob", seed + 1000);
    bob.audit = alice.audit;
    const auto draw = base::SeededRandom(seed);
    int bob_entries = 0;
    bool bob_is_acting = false;
    store.inject_fault = [&](call_kind call, std::string_view) {
      const std::uint64_t chance = draw() % 12;
      if (chance == 0 && !bob_is_acting) {
        bob_is_acting = true;
        REQUIRE(AppendEntry(bob, Entry("bob" + std::to_string(bob_entries++))));
        bob_is_acting = false;
      }
      if (call != call_kind::kPut) return call_fault::kNone;
      if (chance == 1) return call_fault::kAppliedResponseLost;
      if (chance == 2) return call_fault::kRequestLost;
      return call_fault::kNone;
    };
    constexpr int kAliceEntries = 40;
    for (int i = 0; i < kAliceEntries; ++i) {
      REQUIRE(AppendEntry(alice, Entry("alice" + std::to_string(i))));
    }
    store.inject_fault = [](call_kind, std::string_view) {
      return call_fault::kNone;
    };
    const auto trail = ReadTrail(alice, kAllEntries);
    REQUIRE(trail);
    std::set<std::string> ids;
    for (const audit_entry& each : *trail) ids.insert(each.operation_id);
    CHECK(trail->size() == ids.size());
    CHECK(ids.size() == static_cast<std::size_t>(kAliceEntries + bob_entries));
  }
}

TEST_CASE("a crash before an outcome is recorded is resolved by a reader") {
  fake_platform store;
  const context alice = store.Operator("alice", 1);
  const context bob = store.Operator("bob", 2);
  REQUIRE(PutPreset(alice, SmallPreset("ordinary")));
  REQUIRE(PutPreset(alice, SmallPreset("peak")));
  // Alice's process crashes while it writes in_force: none of its later calls
  // arrive.
  bool has_crashed = false;
  const bool took_effect = GENERATE(true, false);
  store.inject_fault = [&](call_kind call, std::string_view key) {
    if (has_crashed) return call_fault::kUnavailable;
    if (call != call_kind::kPut || key != platform::kInForceKey) {
      return call_fault::kNone;
    }
    has_crashed = true;
    return took_effect ? call_fault::kAppliedResponseLost
                       : call_fault::kRequestLost;
  };
  const auto reported = UsePreset(alice, "ordinary");
  REQUIRE_FALSE(reported);
  CHECK(reported.Failure().Kind() == base::error_kind::kResponseLost);
  store.inject_fault = [](call_kind, std::string_view) {
    return call_fault::kNone;
  };

  // While the write could still take effect, its entry stays pending.
  const auto read = ReadTrail(bob, kAllEntries);
  REQUIRE(read);
  REQUIRE(read->size() == 3);
  CHECK(read->back().who == "alice");
  CHECK(read->back().outcome ==
        (took_effect ? audit_outcome::kAccepted : audit_outcome::kPending));

  REQUIRE(UsePreset(bob, "peak"));
  const auto later = ReadTrail(bob, kAllEntries);
  REQUIRE(later->size() == 4);
  CHECK((*later)[2].outcome ==
        (took_effect ? audit_outcome::kAccepted : audit_outcome::kRefused));
  CHECK((*later)[3].outcome == audit_outcome::kAccepted);
}

TEST_CASE("a change whose audit entry can't be written is not made") {
  fake_platform store;
  const context alice = store.Operator("alice", 1);
  REQUIRE(PutPreset(alice, SmallPreset("ordinary")));
  store.inject_fault = [](call_kind call, std::string_view key) {
    const bool is_audit = key.starts_with(platform::kAuditPrefix);
    return call == call_kind::kPut && is_audit ? call_fault::kRequestLost
                                               : call_fault::kNone;
  };
  const auto reported = UsePreset(alice, "ordinary");
  REQUIRE_FALSE(reported);
  CHECK(reported.Failure().Kind() == base::error_kind::kPlatformUnavailable);
  CHECK_FALSE(store.objects.contains(platform::kInForceKey));
}

TEST_CASE("a damaged segment is left unchanged and does not block changes") {
  fake_platform store;
  const context alice = store.Operator("alice", 1);
  REQUIRE(AppendEntry(alice, Entry("1")));
  auto& damaged = store.objects.find("audit/0000000000")->second;
  damaged.value = "{\"entries\":[";
  REQUIRE(AppendEntry(alice, Entry("2")));
  REQUIRE(AppendEntry(alice, Entry("3")));
  const auto trail = ReadTrail(alice, kAllEntries);
  REQUIRE(trail);
  CHECK(trail->size() == 2);
  CHECK(store.objects.find("audit/0000000000")->second.value ==
        "{\"entries\":[");
}

}  // namespace
}  // namespace fireflyspar::operators
