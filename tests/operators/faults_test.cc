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

constexpr std::size_t kWholeTrail = 1000;
constexpr std::array kFaults = {call_fault::kUnavailable, call_fault::kOverRate,
                                call_fault::kLostAfterEffect,
                                call_fault::kLostWithoutEffect};

// Makes the calls with these numbers, counted from now, fail with `fault`.
void FailCalls(fake_platform& store, std::vector<int> numbers,
               call_fault fault) {
  store.calls = 0;
  store.fault_of = [&store, numbers = std::move(numbers), fault](
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

void EndFaults(fake_platform& store) {
  store.fault_of = [](call_kind, std::string_view) {
    return call_fault::kNone;
  };
}

audit_entry LastEntry(const context& with) {
  const auto trail = ReadTrail(with, kWholeTrail);
  REQUIRE(trail);
  REQUIRE_FALSE(trail->empty());
  return trail->back();
}

std::size_t CountOf(const std::vector<audit_entry>& trail,
                    audit_outcome outcome) {
  return static_cast<std::size_t>(
      std::ranges::count(trail, outcome, &audit_entry::outcome));
}

// Checks that the result reported to the operator matches the stored state and
// that the trail holds the change exactly once if it took effect.
void CheckTold(fake_platform& store, const context& with,
               const base::result<platform::in_force>& told) {
  EndFaults(store);
  const auto current = ReadInForce(with);
  REQUIRE(current);
  const bool took_effect = (*current)->preset == "peak";
  CHECK((*current)->id.version == (took_effect ? 2 : 1));
  const auto trail = ReadTrail(with, kWholeTrail);
  REQUIRE(trail);
  const auto uses = std::ranges::count(*trail, audit_action::kUsePreset,
                                       &audit_entry::action);
  CHECK(uses <= 2);
  if (told) {
    CHECK(took_effect);
    CHECK(*told == **current);
  } else if (told.Failure().Kind() != error_kind::kAnswerLost) {
    CHECK_FALSE(took_effect);
  }
  if (took_effect) {
    CHECK(uses == 2);
    CHECK(trail->back().outcome == audit_outcome::kAccepted);
    CHECK(trail->back().operation_id == (*current)->operation_id);
  }
}

TEST_CASE("a choice is reported accepted exactly when it took effect") {
  constexpr int kMostCalls = 24;
  for (const call_fault fault : kFaults) {
    for (int first = 1; first <= kMostCalls; ++first) {
      for (int second = first; second <= kMostCalls; ++second) {
        INFO("fault " << static_cast<int>(fault) << " at calls " << first
                      << " and " << second);
        fake_platform store;
        const context alice = store.Operator("alice", 1);
        REQUIRE(PutPreset(alice, SmallPreset("ordinary")));
        REQUIRE(PutPreset(alice, SmallPreset("peak")));
        REQUIRE(UsePreset(alice, "ordinary"));
        FailCalls(store, {first, second}, fault);
        const auto told = UsePreset(alice, "peak");
        CHECK(told);  // Two transient faults are retried.
        CheckTold(store, alice, told);
      }
    }
  }
}

TEST_CASE("an outage that starts at any call is reported correctly") {
  constexpr int kMostCalls = 24;
  for (const call_fault fault : kFaults) {
    for (int from = 1; from <= kMostCalls; ++from) {
      INFO("fault " << static_cast<int>(fault) << " from call " << from);
      fake_platform store;
      const context alice = store.Operator("alice", 1);
      REQUIRE(PutPreset(alice, SmallPreset("ordinary")));
      REQUIRE(PutPreset(alice, SmallPreset("peak")));
      REQUIRE(UsePreset(alice, "ordinary"));
      store.calls = 0;
      bool hit = false;
      store.fault_of = [&](call_kind call, std::string_view) {
        if (store.calls < from) return call_fault::kNone;
        const bool is_write = call == call_kind::kPut;
        if (hit || !is_write) return call_fault::kUnavailable;
        hit = true;
        return fault;
      };
      CheckTold(store, alice, UsePreset(alice, "peak"));
    }
  }
}

// Makes the first write of `key` fail with `fault` and runs `act` once, within
// the second write.
void ActWithinSecondWrite(fake_platform& store, std::string_view key,
                          call_fault fault, const std::function<void()>& act) {
  store.fault_of = [&store, key, fault, act, puts = 0](
                       call_kind call, std::string_view at) mutable {
    if (call != call_kind::kPut || at != key) return call_fault::kNone;
    ++puts;
    if (puts == 1) return fault;
    if (puts == 2) {
      EndFaults(store);
      act();
    }
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
                         call_fault::kLostAfterEffect,
                         [&] { REQUIRE(UsePreset(bob, "peak")); });
    const auto told = UsePreset(alice, "ordinary");
    REQUIRE(told);
    CHECK(told->id.version == 1);
    CHECK((*ReadInForce(bob))->id.version == 2);
    const auto trail = *ReadTrail(bob, kWholeTrail);
    CHECK(CountOf(trail, audit_outcome::kAccepted) == trail.size());
  }
  SECTION("the write never arrived") {
    ActWithinSecondWrite(store, platform::kInForceKey,
                         call_fault::kLostWithoutEffect,
                         [&] { REQUIRE(UsePreset(bob, "peak")); });
    const auto told = UsePreset(alice, "ordinary");
    REQUIRE_FALSE(told);
    CHECK(told.Failure().Kind() == error_kind::kConflict);
    CHECK((*ReadInForce(bob))->id.version == 1);
    const auto trail = *ReadTrail(bob, kWholeTrail);
    CHECK(CountOf(trail, audit_outcome::kRefused) == 1);
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
    store.fault_of = [&](call_kind call, std::string_view) {
      const std::uint64_t chance = draw() % 20;
      if (chance == 0 && !bob_is_acting) {
        bob_is_acting = true;
        if (UsePreset(bob, "peak")) ++accepted;
        bob_is_acting = false;
      }
      if (call != call_kind::kPut) return call_fault::kNone;
      if (chance == 1) return call_fault::kLostAfterEffect;
      if (chance == 2) return call_fault::kLostWithoutEffect;
      return call_fault::kNone;
    };
    for (int i = 0; i < 5; ++i) {
      const auto told = UsePreset(alice, "ordinary");
      if (told) ++accepted;
      if (!told) CHECK(told.Failure().Kind() == error_kind::kConflict);
    }
    EndFaults(store);
    CHECK((*ReadInForce(alice))->id.version == accepted);
    const auto trail = *ReadTrail(alice, kWholeTrail);
    const std::size_t puts = 2;
    CHECK(CountOf(trail, audit_outcome::kAccepted) == accepted + puts);
    CHECK(CountOf(trail, audit_outcome::kPending) == 0);
  }
}

move_request Request() {
  const base::instant start(std::chrono::seconds(1'700'000'000));
  return {.service = "equipment-history",
          .old_version = "v1",
          .new_version = "v2",
          .start = start,
          .by = start + std::chrono::minutes(10)};
}

void PutInForce(const context& with) {
  REQUIRE(PutPreset(with, SmallPreset("ordinary")));
  REQUIRE(UsePreset(with, "ordinary"));
}

TEST_CASE("a move is started exactly once, whichever call fails") {
  constexpr int kMostCalls = 24;
  for (const call_fault fault : kFaults) {
    for (int first = 1; first <= kMostCalls; ++first) {
      INFO("fault " << static_cast<int>(fault) << " at call " << first);
      fake_platform store;
      const context alice = store.Operator("alice", 1);
      PutInForce(alice);
      FailCalls(store, {first, first + 1}, fault);
      const auto told = StartMove(alice, Request());
      EndFaults(store);
      REQUIRE(told);
      const auto moves = ListMoves(alice);
      REQUIRE(moves);
      REQUIRE(moves->size() == 1);
      CHECK(moves->front() == *told);
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
    store.fault_of = [&](call_kind, std::string_view) {
      if (store.calls == call_number && !bob_acted) {
        bob_acted = true;
        bob_won = StartMove(bob, Request()).Ok();
      }
      return call_fault::kNone;
    };
    const auto told = StartMove(alice, Request());
    EndFaults(store);
    CHECK(told.Ok() != bob_won);
    if (!told) CHECK(told.Failure().Kind() == error_kind::kConflict);
    int running = 0;
    const auto moves = ListMoves(alice);
    REQUIRE(moves);
    for (const decisions::move& each : *moves) {
      if (each.is_final) continue;
      ++running;
      REQUIRE(TakeBackMove(alice, each.id));
    }
    CHECK(running == 1);
  }
  const auto trail = *ReadTrail(alice, kWholeTrail);
  CHECK(CountOf(trail, audit_outcome::kPending) == 0);
}

TEST_CASE("a reserved move whose operator crashed can't start later") {
  fake_platform store;
  const context alice = store.Operator("alice", 1);
  const context bob = store.Operator("bob", 2);
  PutInForce(alice);
  store.fault_of = [](call_kind call, std::string_view key) {
    const bool is_move = key.starts_with(platform::kMovePrefix);
    return call == call_kind::kPut && is_move ? call_fault::kUnavailable
                                              : call_fault::kNone;
  };
  const auto told = StartMove(alice, Request());
  REQUIRE_FALSE(told);
  CHECK(told.Failure().Kind() == error_kind::kPlatformUnavailable);
  EndFaults(store);
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
  const auto judge_writes = [&](decisions::move_state state, bool is_final) {
    auto value = *platform::ParseMove(store.objects[key].value);
    value.state = state;
    value.is_final = is_final;
    value.ready_data_centres.emplace_back("fukuoka");
    REQUIRE(store.Api().put(key, platform::ToText(value),
                            store.objects[key].version));
  };
  bool judge_wrote = false;
  const auto when_written = [&](decisions::move_state state, bool is_final) {
    store.fault_of = [&, state, is_final](call_kind call, std::string_view at) {
      if (call == call_kind::kPut && at == key && !judge_wrote) {
        judge_wrote = true;
        judge_writes(state, is_final);
      }
      return call_fault::kNone;
    };
  };
  SECTION("an evaluator reports in between") {
    when_written(decisions::move_state::kRunning, false);
    const auto told = TakeBackMove(alice, started->id);
    REQUIRE(told);
    CHECK(told->state == decisions::move_state::kTakenBack);
    CHECK(told->is_final);
    CHECK(*ShowMove(alice, started->id) == *told);
    CHECK(LastEntry(alice).outcome == audit_outcome::kAccepted);
    CHECK(TakeBackMove(alice, started->id));
    CHECK(LastEntry(alice).action == audit_action::kTakeBackMove);
    CHECK(ReadTrail(alice, kWholeTrail)->size() == 4);
  }
  SECTION("the move becomes done in between") {
    when_written(decisions::move_state::kDone, true);
    const auto told = TakeBackMove(alice, started->id);
    REQUIRE_FALSE(told);
    CHECK(told.Failure().Kind() == error_kind::kConflict);
    CHECK(LastEntry(alice).outcome == audit_outcome::kRefused);
  }
  SECTION("a response is lost") {
    store.fault_of = [&](call_kind call, std::string_view at) {
      if (call != call_kind::kPut || at != key || judge_wrote) {
        return call_fault::kNone;
      }
      judge_wrote = true;
      return call_fault::kLostAfterEffect;
    };
    const auto told = TakeBackMove(alice, started->id);
    REQUIRE(told);
    CHECK(told->is_final);
    CHECK(LastEntry(alice).outcome == audit_outcome::kAccepted);
  }
}

TEST_CASE("a move that is invalid under the preset in force is refused") {
  fake_platform store;
  const context alice = store.Operator("alice", 1);
  const auto kind_of = [&](const move_request& request) {
    const auto told = StartMove(alice, request);
    REQUIRE_FALSE(told);
    return told.Failure().Kind();
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
  request.by = request.start;
  CHECK(kind_of(request) == error_kind::kBadRequest);
  CHECK(ListMoves(alice)->empty());
}

}  // namespace
}  // namespace fireflyspar::operators
