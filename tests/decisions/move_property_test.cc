// Several trackers joined by an array of messages that are delayed, doubled,
// dropped and overtake each other, under random schedules.
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

struct letter {
  std::size_t target;
  std::variant<evidence_report, move> body;
};

struct small_fleet {
  base::instant now = kStart;
  std::vector<move> held{kNodes,
                         {.id = "m",
                          .service = "history",
                          .old_version = "1",
                          .new_version = "2",
                          .start = kStart,
                          .by = kStart + seconds(60)}};
  std::vector<move_tracker> trackers;
  std::vector<letter> letters;
  std::vector<double> owed = std::vector<double>(kNodes, 0.0);

  small_fleet() {
    for (std::size_t node = 0; node < kNodes; ++node)
      trackers.push_back(Made(node, 1));
    for (std::size_t node = 0; node < kNodes; ++node) Set(node);
  }

  static move_tracker Made(std::size_t node, std::uint64_t incarnation) {
    return move_tracker({.node_id = std::to_string(node),
                         .data_centre = "dc",
                         .incarnation = incarnation,
                         .policy = kPolicy,
                         .is_judge = [](const std::string&) { return true; }});
  }

  void Set(std::size_t node) {
    trackers[node].SetMoves(std::span(&held[node], 1), now);
  }

  double Share(std::size_t node) const {
    return trackers[node].MovedShare(held[node], now);
  }

  void Take(std::size_t node, const move& heard) {
    held[node] = Merge(held[node], heard);
    Set(node);
  }

  template <typename T>
  void SendAll(const T& body) {
    for (std::size_t node = 0; node < kNodes; ++node) {
      letters.push_back({node, body});
    }
  }

  // A quarter of a second: calls at each node, then its tick.
  void Step(int calls, bool is_bad) {
    now += milliseconds(250);
    for (std::size_t node = 0; node < kNodes; ++node) {
      for (int call = 0; call < calls; ++call) Call(node, is_bad);
      const move_effects effects = trackers[node].Tick(now);
      for (const auto& report : effects.reports_to_send) SendAll(report);
      for (const auto* moves : {&effects.verdicts, &effects.updates}) {
        for (const move& value : *moves) {
          Take(node, value);
          SendAll(value);
        }
      }
    }
  }

  void Call(std::size_t node, bool is_bad) {
    owed[node] += Share(node);
    const bool is_new = owed[node] >= 1;
    if (is_new) owed[node] -= 1;
    trackers[node].Record({.service = "history",
                           .route = "lookup",
                           .version = is_new ? "2" : "1",
                           .failed = is_new && is_bad,
                           .latency = milliseconds(10)},
                          now);
  }

  void Deliver(std::size_t index, bool keep) {
    const letter taken = letters[index];
    if (!keep)
      letters.erase(letters.begin() + static_cast<std::ptrdiff_t>(index));
    if (const auto* value = std::get_if<move>(&taken.body)) {
      Take(taken.target, *value);
    } else {
      trackers[taken.target].Merge(std::get<evidence_report>(taken.body), now);
    }
  }

  // One random thing that a network or a crash may do.
  void Disturb() {
    const int choice = *rc::gen::inRange(0, 20);
    if (choice == 0) {
      const auto node = *rc::gen::inRange<std::size_t>(0, kNodes);
      trackers[node] = Made(
          node, 2 + static_cast<std::uint64_t>(now.time_since_epoch().count()));
      Set(node);
    } else if (!letters.empty()) {
      const auto index = *rc::gen::inRange<std::size_t>(0, letters.size());
      if (choice <= 3) {
        letters.erase(letters.begin() + static_cast<std::ptrdiff_t>(index));
      } else {
        Deliver(index, choice <= 6);
      }
    }
  }

  void Settle() {
    const std::vector<move> all = held;
    for (std::size_t node = 0; node < kNodes; ++node) {
      for (const move& value : all) Take(node, value);
    }
  }
};

TEST_CASE(
    "a share stays within what was earned and never grows once taken back") {
  CHECK(rc::check([] {
    small_fleet fleet;
    std::vector<bool> was_taken_back(kNodes, false);
    const bool is_bad = *rc::gen::arbitrary<bool>();
    const int calls = *rc::gen::inRange(0, 60);
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      fleet.Step(calls, is_bad);
      for (int i = 0; i < 10; ++i) fleet.Disturb();
      for (std::size_t node = 0; node < kNodes; ++node) {
        const double share = fleet.Share(node);
        const double earned =
            std::max(0.02, fleet.held[node].cleared_percent / 100.0);
        RC_ASSERT(share <= earned + 1e-9);
        if (was_taken_back[node]) RC_ASSERT(share == 0);
        if (fleet.held[node].state == move_state::kTakenBack) {
          was_taken_back[node] = true;
        }
      }
    }
    // A version that always fails earns nothing, however its reports are
    // doubled and reordered.
    if (is_bad) {
      for (const move& value : fleet.held)
        RC_ASSERT(value.cleared_percent == 0);
    }
  }));
}

TEST_CASE("a verdict reaches everyone, and a good version gets none") {
  CHECK(rc::check([] {
    small_fleet fleet;
    const bool is_bad = *rc::gen::arbitrary<bool>();
    const int steps = is_bad ? 120 : *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      fleet.Step(50, is_bad);
      for (int i = 0; i < 10; ++i) fleet.Disturb();
      if (fleet.letters.size() > 200) fleet.letters.resize(200);
    }
    fleet.Settle();
    for (std::size_t node = 0; node < kNodes; ++node) {
      RC_ASSERT((fleet.held[node].state == move_state::kTakenBack) == is_bad);
      RC_ASSERT(!is_bad || fleet.Share(node) == 0);
    }
  }));
}

TEST_CASE("a final outcome wins over whatever a node held") {
  CHECK(rc::check([] {
    small_fleet fleet;
    move last = fleet.held[0];
    last.state = *rc::gen::arbitrary<bool>() ? move_state::kDone
                                             : move_state::kTakenBack;
    last.is_final = true;
    const bool is_bad = *rc::gen::arbitrary<bool>();
    const int steps = *rc::gen::inRange(1, 30);
    for (int step = 0; step < steps; ++step) {
      fleet.Step(40, is_bad);
      for (int i = 0; i < 10; ++i) fleet.Disturb();
    }
    fleet.SendAll(last);
    while (!fleet.letters.empty()) fleet.Deliver(0, false);
    for (std::size_t node = 0; node < kNodes; ++node) {
      RC_ASSERT(fleet.Share(node) == (last.state == move_state::kDone ? 1 : 0));
    }
  }));
}

TEST_CASE("late, doubled and crossed reports give the same judgement") {
  CHECK(rc::check([] {
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
    move_judge judge(0.01);
    std::uint64_t greatest = 0;
    for (const std::uint64_t sequence : order) {
      judge.Merge(report(sequence));
      greatest = std::max(greatest, sequence);
    }
    RC_ASSERT(judge.OldCalls() == 10 * greatest);
    RC_ASSERT(judge.NewCalls() == 2 * greatest);
  }));
}

TEST_CASE("what a node's former life reported stays counted") {
  move_judge judge(0.01);
  evidence_report report{.move_id = "m",
                         .node_id = "n",
                         .incarnation = 1,
                         .sequence = 50,
                         .old_version = {{.route = "a", .calls = 100}}};
  judge.Merge(report);
  report.incarnation = 2;
  report.sequence = 1;
  report.old_version[0].calls = 7;
  judge.Merge(report);
  CHECK(judge.OldCalls() == 107);
  report.incarnation = 1;
  report.sequence = 51;
  judge.Merge(report);
  CHECK(judge.OldCalls() == 107);
}

// A burst in which both versions fail one call in five, while the new version
// has 95 in 100 calls, then calm while it has 25 in 100.
evidence_report BurstThenCalm(bool is_kept_apart) {
  return {.move_id = "m",
          .node_id = "n",
          .incarnation = 1,
          .sequence = 1,
          .old_version = {{.route = "a", .calls = 50, .failures = 10},
                          {.route = is_kept_apart ? "a" : "b",
                           .was_cautious = is_kept_apart,
                           .calls = 750}},
          .new_version = {{.route = "a", .calls = 950, .failures = 190},
                          {.route = is_kept_apart ? "a" : "b",
                           .was_cautious = is_kept_apart,
                           .calls = 250}}};
}

bool IsTakenBackBy(const evidence_report& report) {
  const move value{.id = "m", .start = kStart, .by = kStart + seconds(60)};
  move_judge judge(0.01);
  judge.Merge(report);
  judge.Weigh(value, kPolicy, kStart + seconds(1));
  return !judge.Fault().empty();
}

TEST_CASE("calls that were shared out otherwise are not compared") {
  CHECK_FALSE(IsTakenBackBy(BurstThenCalm(true)));
  // The same calls, mixed, would condemn a good version.
  CHECK(IsTakenBackBy(BurstThenCalm(false)));
}

TEST_CASE("a judge that comes late does not compare sums over many shares") {
  evidence_report report = BurstThenCalm(false);
  report.sequence = 1000;
  CHECK_FALSE(IsTakenBackBy(report));
}

}  // namespace
}  // namespace fireflyspar::decisions
