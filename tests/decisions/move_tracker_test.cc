#include "decisions/move_tracker.h"

#include <catch2/catch.hpp>
#include <vector>

namespace fireflyspar::decisions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::instant kStart{seconds(1'000'000)};

move MoveOf(std::string id = "m") {
  return {.id = std::move(id),
          .service = "history",
          .old_version = "1",
          .new_version = "2",
          .start = kStart,
          .complete_by = kStart + seconds(300)};
}

// Simulates a single node that is its own evaluator. It gets `calls_per_tick`
// calls every 250 ms, and its new version fails `failures_in_100` of every 100
// calls from `bad_from` after the start.
struct lone_node {
  move value = MoveOf();
  move_tracker tracker{
      {.node_id = "n1",
       .data_centre = "fukuoka",
       .incarnation = 1,
       .policy = {.max_unproven_percent = 2, .bake = seconds(30)}}};
  base::instant now = kStart;
  int calls_per_tick = 50;
  int failures_in_100 = 0;
  base::duration bad_from = seconds(0);
  double new_call_credit = 0;
  int new_calls = 0;
  double max_share = 0;
  bool is_ready = false;
  bool is_rolled_back = false;

  void Step() {
    tracker.SetMoves(std::vector<move>{value}, now);
    const double share = tracker.MovedShare(value, now);
    max_share = std::max(max_share, share);
    for (int call = 0; call < calls_per_tick; ++call) Call(share);
    move_effects effects = tracker.Tick(now);
    for (const auto& report : effects.reports_to_send) {
      tracker.Merge(report, now);
    }
    for (const move& rolled_back : effects.rollbacks) MergeMove(rolled_back);
    for (const move& update : effects.updates) MergeMove(update);
    is_ready = is_ready || !effects.ready.empty();
    now += milliseconds(250);
  }

  void MergeMove(const move& received) {
    value = Merge(value, received);
    is_rolled_back = value.state == move_state::kRolledBack;
  }

  void Call(double share) {
    new_call_credit += share;
    const bool is_new = new_call_credit >= 1;
    if (is_new) new_call_credit -= 1;
    if (is_new) ++new_calls;
    const bool is_bad =
        is_new && now - kStart >= bad_from && new_calls % 100 < failures_in_100;
    tracker.Record({.service = "history",
                    .route = "lookup",
                    .version = is_new ? "2" : "1",
                    .failed = is_bad,
                    .latency = milliseconds(10)},
                   now);
  }

  void RunUntil(base::duration since_start) {
    while (now - kStart < since_start && !is_rolled_back) Step();
  }
};

TEST_CASE(
    "a good version reaches the full share and is ready before the deadline") {
  lone_node node;
  node.RunUntil(seconds(300));
  CHECK_FALSE(node.is_rolled_back);
  CHECK(node.value.proven_percent == 100);
  CHECK(node.max_share == Approx(0.95));
  CHECK(node.is_ready);
}

TEST_CASE("a version that fails at once is rolled back at the unproven share") {
  lone_node node;
  node.failures_in_100 = 100;
  node.RunUntil(seconds(300));
  CHECK(node.is_rolled_back);
  CHECK(node.max_share <= 0.021);
  CHECK(node.new_calls < 20);
  CHECK(node.value.evidence.find("2 failed") == 0);
  CHECK(node.tracker.MovedShare(node.value, node.now) == 0);
}

TEST_CASE("a version that starts to fail late is rolled back") {
  lone_node node;
  node.failures_in_100 = 30;
  node.bad_from = seconds(200);
  node.RunUntil(seconds(300));
  CHECK(node.is_rolled_back);
  CHECK_FALSE(node.is_ready);
}

TEST_CASE("without calls nothing is proven and the share does not grow") {
  lone_node node;
  node.calls_per_tick = 0;
  node.RunUntil(seconds(400));
  CHECK_FALSE(node.is_rolled_back);
  CHECK_FALSE(node.is_ready);
  CHECK(node.value.proven_percent == 0);
  CHECK(node.tracker.MovedShare(node.value, node.now) <= 0.02);
  CHECK(node.tracker.Progress("m", node.now).find("nothing is proven") !=
        std::string::npos);
}

TEST_CASE("a second move of a service waits until the first one is final") {
  move_tracker tracker({.node_id = "n1"});
  move first = MoveOf("first");
  const move second = MoveOf("second");
  const base::instant now = kStart + seconds(10);
  tracker.SetMoves(std::vector<move>{first, second}, now);
  CHECK(tracker.MovedShare(first, now) > 0);
  CHECK(tracker.MovedShare(second, now) == 0);
  first.state = move_state::kDone;
  first.is_final = true;
  tracker.SetMoves(std::vector<move>{first, second}, now);
  CHECK(tracker.MovedShare(first, now) == 1);
  CHECK(tracker.MovedShare(second, now) > 0);
}

}  // namespace
}  // namespace fireflyspar::decisions
