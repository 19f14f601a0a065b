// Runs operators' commands under every fault of the platform, in one call, in
// two calls and in all calls from some call on, and with another operator's
// changes in between.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <vector>

#include "examples.h"
#include "fake_platform.h"
#include "operators/audit_trail.h"
#include "operators/move_commands.h"
#include "operators/preset_commands.h"

namespace fireflyspar::operators {
namespace {

using base::error_kind;

constexpr std::size_t kAllEntries = 1000;
constexpr std::array kFaults = {call_fault::kUnavailable, call_fault::kOverRate,
                                call_fault::kAppliedResponseLost,
                                call_fault::kRequestLost};

// Makes the calls with these numbers, counted from now, fail with `fault`.
void FailCalls(fake_platform& store, std::vector<int> numbers,
               call_fault fault) {
  store.calls = 0;
  store.inject_fault = [&store, numbers = std::move(numbers), fault](
                           call_kind call, std::string_view) {
    // Only a write has faults that lose its request or response.
    const bool is_write = call == call_kind::kPut || call == call_kind::kRemove;
    const bool is_applicable = is_write || fault == call_fault::kUnavailable ||
                               fault == call_fault::kOverRate;
    const bool is_hit =
        std::ranges::find(numbers, store.calls) != numbers.end();
    return is_applicable && is_hit ? fault : call_fault::kNone;
  };
}

void ClearFaults(fake_platform& store) {
  store.inject_fault = [](call_kind, std::string_view) {
    return call_fault::kNone;
  };
}

audit_entry LastEntry(const context& ctx) {
  const auto trail = ReadTrail(ctx, kAllEntries);
  REQUIRE(trail);
  REQUIRE_FALSE(trail->empty());
  return trail->back();
}

std::size_t CountOutcome(const std::vector<audit_entry>& trail,
                         audit_outcome outcome) {
  return static_cast<std::size_t>(
      std::ranges::count(trail, outcome, &audit_entry::outcome));
}

// Checks that the result reported to the operator matches the stored state and
// that the trail holds the change exactly once if it took effect.
void CheckReportedOutcome(fake_platform& store, const context& ctx,
                          const base::result<platform::in_force>& reported) {
  ClearFaults(store);
  const auto current = ReadInForce(ctx);
  REQUIRE(current);
  const bool took_effect = (*current)->preset == "peak";
  CHECK((*current)->id.version == (took_effect ? 2 : 1));
  const auto trail = ReadTrail(ctx, kAllEntries);
  REQUIRE(trail);
  const auto uses = std::ranges::count(*trail, audit_action::kUsePreset,
                                       &audit_entry::action);
  CHECK(uses <= 2);
  if (reported) {
    CHECK(took_effect);
    CHECK(*reported == **current);
  } else if (reported.Failure().Kind() != error_kind::kResponseLost) {
    CHECK_FALSE(took_effect);
  }
  if (took_effect) {
    CHECK(uses == 2);
    CHECK(trail->back().outcome == audit_outcome::kAccepted);
    CHECK(trail->back().operation_id == (*current)->operation_id);
  }
}

TEST_CASE("a choice is reported accepted exactly when it took effect") {
  constexpr int kMaxCalls = 24;
  for (const call_fault fault : kFaults) {
    for (int first = 1; first <= kMaxCalls; ++first) {
      for (int second = first; second <= kMaxCalls; ++second) {
        INFO("fault " << static_cast<int>(fault) << " at calls " << first
                      << " and " << second);
        fake_platform store;
        const context alice = store.Operator("alice", 1);
        REQUIRE(PutPreset(alice, SmallPreset("ordinary")));
        REQUIRE(PutPreset(alice, SmallPreset("peak")));
        REQUIRE(UsePreset(alice, "ordinary"));
        FailCalls(store, {first, second}, fault);
        const auto reported = UsePreset(alice, "peak");
        CHECK(reported);  // Two transient faults are retried.
        CheckReportedOutcome(store, alice, reported);
      }
    }
  }
}

TEST_CASE("an outage that starts at any call is reported correctly") {
  constexpr int kMaxCalls = 24;
  for (const call_fault fault : kFaults) {
    for (int from = 1; from <= kMaxCalls; ++from) {
      INFO("fault " << static_cast<int>(fault) << " from call " << from);
      fake_platform store;
      const context alice = store.Operator("alice", 1);
      REQUIRE(PutPreset(alice, SmallPreset("ordinary")));
      REQUIRE(PutPreset(alice, SmallPreset("peak")));
      REQUIRE(UsePreset(alice, "ordinary"));
      store.calls = 0;
      bool hit = false;
      store.inject_fault = [&](call_kind call, std::string_view) {
        if (store.calls < from) return call_fault::kNone;
        const bool is_write = call == call_kind::kPut;
        if (hit || !is_write) return call_fault::kUnavailable;
        hit = true;
        return fault;
      };
      CheckReportedOutcome(store, alice, UsePreset(alice, "peak"));
    }
  }
}

// Makes the first write of `key` fail with `fault` and runs `act` once, within
// the second write.
void ActWithinSecondWrite(fake_platform& store, std::string_view key,
                          call_fault fault, const std::function<void()>& act) {
  store.inject_fault = [key, fault, act, puts = 0](
                           call_kind call, std::string_view at) mutable {
    if (call != call_kind::kPut || at != key) return call_fault::kNone;
    ++puts;
    if (puts == 1) return fault;
    if (puts == 2) act();
    return call_fault::kNone;
  };
}

TEST_CASE("a choice replaced just after it took effect is reported accepted") {
  fake_platform store;
  const context alice = store.Operator("alice", 1);
  const context bob = store.Operator("bob", 2);
  REQUIRE(PutPreset(alice, SmallPreset("ordinary")));
  REQUIRE(PutPreset(alice, SmallPreset("peak")));

  SECTION("the write took effect and its response was lost") {
    // Bob's change is made within the retry of alice's write.
    ActWithinSecondWrite(store, platform::kInForceKey,
                         call_fault::kAppliedResponseLost,
                         [&] { REQUIRE(UsePreset(bob, "peak")); });
    const auto reported = UsePreset(alice, "ordinary");
    REQUIRE(reported);
    CHECK(reported->id.version == 1);
    CHECK((*ReadInForce(bob))->id.version == 2);
    const auto trail = *ReadTrail(bob, kAllEntries);
    CHECK(CountOutcome(trail, audit_outcome::kAccepted) == trail.size());
  }
  SECTION("the write never arrived") {
    ActWithinSecondWrite(store, platform::kInForceKey, call_fault::kRequestLost,
                         [&] { REQUIRE(UsePreset(bob, "peak")); });
    const auto reported = UsePreset(alice, "ordinary");
    REQUIRE_FALSE(reported);
    CHECK(reported.Failure().Kind() == error_kind::kConflict);
    CHECK((*ReadInForce(bob))->id.version == 1);
    const auto trail = *ReadTrail(bob, kAllEntries);
    CHECK(CountOutcome(trail, audit_outcome::kRefused) == 1);
  }
}

TEST_CASE(
    "racing operators: one choice is reported accepted for each version") {
  constexpr std::uint64_t kSeeds = 300;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    fake_platform store;
    const context alice = store.Operator("alice", seed);
    const context bob = store.Operator("bob", seed + kSeeds);
    REQUIRE(PutPreset(alice, SmallPreset("ordinary")));
    REQUIRE(PutPreset(alice, SmallPreset("peak")));
    const auto draw = base::SeededRandom(seed);
    std::uint64_t accepted = 0;
    bool bob_is_acting = false;
    store.inject_fault = [&](call_kind call, std::string_view) {
      const std::uint64_t chance = draw() % 20;
      if (chance == 0 && !bob_is_acting) {
        bob_is_acting = true;
        if (UsePreset(bob, "peak")) ++accepted;
        bob_is_acting = false;
      }
      if (call != call_kind::kPut) return call_fault::kNone;
      if (chance == 1) return call_fault::kAppliedResponseLost;
      if (chance == 2) return call_fault::kRequestLost;
      return call_fault::kNone;
    };
    for (int i = 0; i < 5; ++i) {
      const auto reported = UsePreset(alice, "ordinary");
      if (reported) ++accepted;
      if (!reported) CHECK(reported.Failure().Kind() == error_kind::kConflict);
    }
    ClearFaults(store);
    CHECK((*ReadInForce(alice))->id.version == accepted);
    const auto trail = *ReadTrail(alice, kAllEntries);
    const std::size_t puts = 2;
    CHECK(CountOutcome(trail, audit_outcome::kAccepted) == accepted + puts);
    CHECK(CountOutcome(trail, audit_outcome::kPending) == 0);
  }
}

move_request Request() {
  const base::instant start(std::chrono::seconds(1'700'000'000));
  return {.service = "equipment-history",
          .old_version = "v1",
          .new_version = "v2",
          .start = start,
          .complete_by = start + std::chrono::minutes(10)};
}

void PutInForce(const context& ctx) {
  REQUIRE(PutPreset(ctx, SmallPreset("ordinary")));
  REQUIRE(UsePreset(ctx, "ordinary"));
}

TEST_CASE("a move is started exactly once, whichever call fails") {
  constexpr int kMaxCalls = 24;
  for (const call_fault fault : kFaults) {
    for (int first = 1; first <= kMaxCalls; ++first) {
      INFO("fault " << static_cast<int>(fault) << " at call " << first);
      fake_platform store;
      const context alice = store.Operator("alice", 1);
      PutInForce(alice);
      FailCalls(store, {first, first + 1}, fault);
      const auto reported = StartMove(alice, Request());
      ClearFaults(store);
      REQUIRE(reported);
      const auto moves = ListMoves(alice);
      REQUIRE(moves);
      REQUIRE(moves->size() == 1);
      CHECK(moves->front() == *reported);
      CHECK(LastEntry(alice).outcome == audit_outcome::kAccepted);
    }
  }
}

TEST_CASE("a service has one move at a time even when operators race") {
  fake_platform store;
  const context alice = store.Operator("alice", 1);
  const context bob = store.Operator("bob", 2);
  PutInForce(alice);
  for (int call_number = 1; call_number <= 16; ++call_number) {
    INFO("bob acts at call " << call_number);
    store.calls = 0;
    bool bob_acted = false;
    bool bob_won = false;
    store.inject_fault = [&](call_kind, std::string_view) {
      if (store.calls == call_number && !bob_acted) {
        bob_acted = true;
        bob_won = StartMove(bob, Request()).Ok();
      }
      return call_fault::kNone;
    };
    const auto reported = StartMove(alice, Request());
    ClearFaults(store);
    CHECK(reported.Ok() != bob_won);
    if (!reported) CHECK(reported.Failure().Kind() == error_kind::kConflict);
    int running = 0;
    const auto moves = ListMoves(alice);
    REQUIRE(moves);
    for (const decisions::move& each : *moves) {
      if (each.is_final) continue;
      ++running;
      REQUIRE(RollBackMove(alice, each.id));
    }
    CHECK(running == 1);
  }
  const auto trail = *ReadTrail(alice, kAllEntries);
  CHECK(CountOutcome(trail, audit_outcome::kPending) == 0);
}

TEST_CASE("a reserved move whose operator crashed can't start later") {
  fake_platform store;
  const context alice = store.Operator("alice", 1);
  const context bob = store.Operator("bob", 2);
  PutInForce(alice);
  store.inject_fault = [](call_kind call, std::string_view key) {
    const bool is_move = key.starts_with(platform::kMovePrefix);
    return call == call_kind::kPut && is_move ? call_fault::kUnavailable
                                              : call_fault::kNone;
  };
  const auto reported = StartMove(alice, Request());
  REQUIRE_FALSE(reported);
  CHECK(reported.Failure().Kind() == error_kind::kPlatformUnavailable);
  ClearFaults(store);
  REQUIRE(StartMove(bob, Request()));
  const auto moves = ListMoves(bob);
  REQUIRE(moves->size() == 2);
  CHECK(std::ranges::count(*moves, true, &decisions::move::is_final) == 1);
}

TEST_CASE("a rollback is final and is refused only for a move that is done") {
  fake_platform store;
  const context alice = store.Operator("alice", 1);
  PutInForce(alice);
  const auto started = StartMove(alice, Request());
  REQUIRE(started);
  const std::string key = std::string(platform::kMovePrefix) + started->id;
  const auto evaluator_writes = [&](decisions::move_state state,
                                    bool is_final) {
    auto value = *platform::ParseMove(store.objects[key].value);
    value.state = state;
    value.is_final = is_final;
    value.ready_data_centres.emplace_back("fukuoka");
    REQUIRE(store.Api().put(key, platform::ToText(value),
                            store.objects[key].version));
  };
  bool evaluator_wrote = false;
  const auto when_written = [&](decisions::move_state state, bool is_final) {
    store.inject_fault = [&, state, is_final](call_kind call,
                                              std::string_view at) {
      if (call == call_kind::kPut && at == key && !evaluator_wrote) {
        evaluator_wrote = true;
        evaluator_writes(state, is_final);
      }
      return call_fault::kNone;
    };
  };
  SECTION("an evaluator reports in between") {
    when_written(decisions::move_state::kRunning, false);
    const auto reported = RollBackMove(alice, started->id);
    REQUIRE(reported);
    CHECK(reported->state == decisions::move_state::kRolledBack);
    CHECK(reported->is_final);
    CHECK(*ShowMove(alice, started->id) == *reported);
    CHECK(LastEntry(alice).outcome == audit_outcome::kAccepted);
    CHECK(RollBackMove(alice, started->id));
    CHECK(LastEntry(alice).action == audit_action::kRollBackMove);
    CHECK(ReadTrail(alice, kAllEntries)->size() == 4);
  }
  SECTION("the move becomes done in between") {
    when_written(decisions::move_state::kDone, true);
    const auto reported = RollBackMove(alice, started->id);
    REQUIRE_FALSE(reported);
    CHECK(reported.Failure().Kind() == error_kind::kConflict);
    CHECK(LastEntry(alice).outcome == audit_outcome::kRefused);
  }
  SECTION("a response is lost") {
    store.inject_fault = [&](call_kind call, std::string_view at) {
      if (call != call_kind::kPut || at != key || evaluator_wrote) {
        return call_fault::kNone;
      }
      evaluator_wrote = true;
      return call_fault::kAppliedResponseLost;
    };
    const auto reported = RollBackMove(alice, started->id);
    REQUIRE(reported);
    CHECK(reported->is_final);
    CHECK(LastEntry(alice).outcome == audit_outcome::kAccepted);
  }
}

TEST_CASE("a move that is invalid under the preset in force is refused") {
  fake_platform store;
  const context alice = store.Operator("alice", 1);
  const auto kind_of = [&](const move_request& request) {
    const auto reported = StartMove(alice, request);
    REQUIRE_FALSE(reported);
    return reported.Failure().Kind();
  };
  CHECK(kind_of(Request()) == error_kind::kBadRequest);  // Nothing in force.
  PutInForce(alice);
  move_request request = Request();
  request.service = "gone";
  CHECK(kind_of(request) == error_kind::kBadRequest);
  request = Request();
  request.old_version = "v0";
  CHECK(kind_of(request) == error_kind::kBadRequest);
  request = Request();
  request.new_version = "v1";
  CHECK(kind_of(request) == error_kind::kBadRequest);
  request = Request();
  request.complete_by = request.start;
  CHECK(kind_of(request) == error_kind::kBadRequest);
  CHECK(ListMoves(alice)->empty());
}

}  // namespace
}  // namespace fireflyspar::operators
