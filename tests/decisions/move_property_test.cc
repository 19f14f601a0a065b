// Property tests of move trackers that exchange messages through an array.
// Under random schedules, messages are delayed, repeated, dropped and
// reordered, and nodes restart.
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "decisions/move_schedule.h"
#include "decisions/move_tracker.h"

namespace fireflyspar::decisions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kNodes = 4;
constexpr base::instant kStart{seconds(1'000'000)};
const config::move_policy kPolicy{.max_unproven_percent = 2,
                                  .bake = seconds(5)};

struct message {
  std::size_t target;
  std::variant<evidence_report, move> body;
};

struct tracker_fleet {
  base::instant now = kStart;
  std::vector<move> held{kNodes,
                         {.id = "m",
                          .service = "history",
                          .old_version = "1",
                          .new_version = "2",
                          .start = kStart,
                          .complete_by = kStart + seconds(60)}};
  std::vector<move_tracker> trackers;
  std::vector<message> messages;
  std::vector<double> new_call_credit = std::vector<double>(kNodes, 0.0);

  tracker_fleet() {
    for (std::size_t node = 0; node < kNodes; ++node) {
      trackers.push_back(MakeTracker(node, 1));
    }
    for (std::size_t node = 0; node < kNodes; ++node) {
      UpdateTracker(node);
    }
  }

  static move_tracker MakeTracker(std::size_t node, std::uint64_t incarnation) {
    return move_tracker(
        {.node_id = std::to_string(node),
         .data_centre = "dc",
         .incarnation = incarnation,
         .policy = kPolicy,
         .is_evaluator = [](const std::string&) { return true; }});
  }

  void UpdateTracker(std::size_t node) {
    trackers[node].SetMoves(std::span(&held[node], 1), now);
  }

  double Share(std::size_t node) const {
    return trackers[node].MovedShare(held[node], now);
  }

  void MergeMove(std::size_t node, const move& received) {
    held[node] = Merge(held[node], received);
    UpdateTracker(node);
  }

  template <typename T>
  void SendAll(const T& body) {
    for (std::size_t node = 0; node < kNodes; ++node) {
      messages.push_back({node, body});
    }
  }

  // Simulates 250 ms: makes calls at each node, then runs the node's tick.
  void Step(int calls, bool is_bad) {
    now += milliseconds(250);
    for (std::size_t node = 0; node < kNodes; ++node) {
      for (int call = 0; call < calls; ++call) Call(node, is_bad);
      const move_effects effects = trackers[node].Tick(now);
      for (const auto& report : effects.reports_to_send) SendAll(report);
      for (const auto* moves : {&effects.rollbacks, &effects.updates}) {
        for (const move& value : *moves) {
          MergeMove(node, value);
          SendAll(value);
        }
      }
    }
  }

  void Call(std::size_t node, bool is_bad) {
    new_call_credit[node] += Share(node);
    const bool is_new = new_call_credit[node] >= 1;
    if (is_new) new_call_credit[node] -= 1;
    trackers[node].Record({.service = "history",
                           .route = "lookup",
                           .version = is_new ? "2" : "1",
                           .failed = is_new && is_bad,
                           .latency = milliseconds(10)},
                          now);
  }

  void Deliver(std::size_t index, bool keep) {
    const message delivered = messages[index];
    if (!keep) {
      messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (const auto* value = std::get_if<move>(&delivered.body)) {
      MergeMove(delivered.target, *value);
    } else {
      trackers[delivered.target].Merge(
          std::get<evidence_report>(delivered.body), now);
    }
  }

  // Injects one random fault: restarts a node, or drops, delivers or repeats a
  // message out of order.
  void InjectFault() {
    const int choice = *rc::gen::inRange(0, 20);
    if (choice == 0) {
      const auto node = *rc::gen::inRange<std::size_t>(0, kNodes);
      trackers[node] = MakeTracker(
          node, 2 + static_cast<std::uint64_t>(now.time_since_epoch().count()));
      UpdateTracker(node);
    } else if (!messages.empty()) {
      const auto index = *rc::gen::inRange<std::size_t>(0, messages.size());
      if (choice <= 3) {
        messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(index));
      } else {
        Deliver(index, choice <= 6);
      }
    }
  }

  void MergeEverywhere() {
    const std::vector<move> all = held;
    for (std::size_t node = 0; node < kNodes; ++node) {
      for (const move& value : all) MergeMove(node, value);
    }
  }
};

TEST_CASE(
    "the share never exceeds what is proven, and stays zero after a rollback") {
  const bool holds = rc::check([] {
    tracker_fleet fleet;
    std::vector<bool> was_rolled_back(kNodes, false);
    const bool is_bad = *rc::gen::arbitrary<bool>();
    const int calls = *rc::gen::inRange(0, 60);
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      fleet.Step(calls, is_bad);
      for (int i = 0; i < 10; ++i) fleet.InjectFault();
      for (std::size_t node = 0; node < kNodes; ++node) {
        const double share = fleet.Share(node);
        const double proven_share =
            std::max(0.02, fleet.held[node].proven_percent / 100.0);
        RC_ASSERT(share <= proven_share + 1e-9);
        if (was_rolled_back[node]) {
          RC_ASSERT(share == 0);
        }
        if (fleet.held[node].state == move_state::kRolledBack) {
          was_rolled_back[node] = true;
        }
      }
    }
    // A version that always fails must not prove any share, however its reports
    // are repeated and reordered.
    if (is_bad) {
      for (const move& value : fleet.held) {
        RC_ASSERT(value.proven_percent == 0);
      }
    }
  });
  CHECK(holds);
}

TEST_CASE("a bad version is rolled back at all nodes, and a good one at none") {
  const bool holds = rc::check([] {
    tracker_fleet fleet;
    const bool is_bad = *rc::gen::arbitrary<bool>();
    const int steps = is_bad ? 120 : *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      fleet.Step(50, is_bad);
      for (int i = 0; i < 10; ++i) fleet.InjectFault();
      if (fleet.messages.size() > 200) fleet.messages.resize(200);
    }
    fleet.MergeEverywhere();
    for (std::size_t node = 0; node < kNodes; ++node) {
      RC_ASSERT((fleet.held[node].state == move_state::kRolledBack) == is_bad);
      RC_ASSERT(!is_bad || fleet.Share(node) == 0);
    }
  });
  CHECK(holds);
}

TEST_CASE("a final outcome replaces any state that a node holds") {
  const bool holds = rc::check([] {
    tracker_fleet fleet;
    move final_move = fleet.held[0];
    final_move.state = *rc::gen::arbitrary<bool>() ? move_state::kDone
                                                   : move_state::kRolledBack;
    final_move.is_final = true;
    const bool is_bad = *rc::gen::arbitrary<bool>();
    const int steps = *rc::gen::inRange(1, 30);
    for (int step = 0; step < steps; ++step) {
      fleet.Step(40, is_bad);
      for (int i = 0; i < 10; ++i) fleet.InjectFault();
    }
    fleet.SendAll(final_move);
    while (!fleet.messages.empty()) fleet.Deliver(0, false);
    for (std::size_t node = 0; node < kNodes; ++node) {
      RC_ASSERT(fleet.Share(node) ==
                (final_move.state == move_state::kDone ? 1 : 0));
    }
  });
  CHECK(holds);
}

TEST_CASE("late, repeated and reordered reports give the same counts") {
  const bool holds = rc::check([] {
    const auto report = [](std::uint64_t sequence) {
      return evidence_report{
          .move_id = "m",
          .node_id = "n",
          .incarnation = 1,
          .sequence = sequence,
          .old_version = {{.route = "a", .calls = 10 * sequence}},
          .new_version = {{.route = "a", .calls = 2 * sequence}}};
    };
    const auto order = *rc::gen::container<std::vector<std::uint64_t>>(
        rc::gen::inRange<std::uint64_t>(1, 20));
    move_evaluator evaluator(0.01);
    std::uint64_t max_sequence = 0;
    for (const std::uint64_t sequence : order) {
      evaluator.Merge(report(sequence));
      max_sequence = std::max(max_sequence, sequence);
    }
    RC_ASSERT(evaluator.OldCalls() == 10 * max_sequence);
    RC_ASSERT(evaluator.NewCalls() == 2 * max_sequence);
  });
  CHECK(holds);
}

TEST_CASE("the counts of a node's earlier incarnation are kept") {
  move_evaluator evaluator(0.01);
  evidence_report report{.move_id = "m",
                         .node_id = "n",
                         .incarnation = 1,
                         .sequence = 50,
                         .old_version = {{.route = "a", .calls = 100}}};
  evaluator.Merge(report);
  report.incarnation = 2;
  report.sequence = 1;
  report.old_version[0].calls = 7;
  evaluator.Merge(report);
  CHECK(evaluator.OldCalls() == 107);
  report.incarnation = 1;
  report.sequence = 51;
  evaluator.Merge(report);
  CHECK(evaluator.OldCalls() == 107);
}

// Returns a report on a burst, in which both versions fail 20% of their calls
// and the new version gets 95% of the calls, and on a period without failures
// after it, in which the new version gets 25%. With `is_separated` the second
// period counts as dispatched under a share cap. Otherwise it is on another
// route, so the counts of all routes together mix the two periods.
evidence_report BurstThenCalm(bool is_separated) {
  return {.move_id = "m",
          .node_id = "n",
          .incarnation = 1,
          .sequence = 1,
          .old_version = {{.route = "a", .calls = 50, .failures = 10},
                          {.route = is_separated ? "a" : "b",
                           .was_share_capped = is_separated,
                           .calls = 750}},
          .new_version = {{.route = "a", .calls = 950, .failures = 190},
                          {.route = is_separated ? "a" : "b",
                           .was_share_capped = is_separated,
                           .calls = 250}}};
}

bool IsRolledBackBy(const evidence_report& report) {
  const move value{
      .id = "m", .start = kStart, .complete_by = kStart + seconds(60)};
  move_evaluator evaluator(0.01);
  evaluator.Merge(report);
  evaluator.Evaluate(value, kPolicy, kStart + seconds(1));
  return !evaluator.RollbackReason().empty();
}

TEST_CASE("calls that were split at different shares are not compared") {
  CHECK_FALSE(IsRolledBackBy(BurstThenCalm(true)));
  // Without the separation by share, the same calls roll back a good version.
  CHECK(IsRolledBackBy(BurstThenCalm(false)));
}

TEST_CASE(
    "an evaluator that starts late does not compare sums over varying shares") {
  evidence_report report = BurstThenCalm(false);
  report.sequence = 1000;
  CHECK_FALSE(IsRolledBackBy(report));
}

}  // namespace
}  // namespace fireflyspar::decisions
