#include "decisions/move_schedule.h"

#include <catch2/catch.hpp>

#include "decisions/move_judge.h"

namespace fireflyspar::decisions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::instant kStart{seconds(1'000'000)};
const config::move_policy kPolicy{.max_unproven_percent = 2,
                                  .bake = seconds(30)};
const move kMove{.id = "m",
                 .old_version = "1",
                 .new_version = "2",
                 .start = kStart,
                 .by = kStart + seconds(300)};

double ShareAt(base::instant now, const earned_share& earned) {
  return AllowedShare(kMove, kPolicy, earned, now);
}

TEST_CASE(
    "the ramp leaves time for the bake and a margin before the deadline") {
  const base::instant full = FullShareAt(kMove, kPolicy);
  CHECK(full == kMove.by - seconds(30) - seconds(15));
  CHECK(ShareAt(full, {.cleared_percent = 100}) == Approx(kFullShare));
  CHECK(ShareAt(kStart - milliseconds(1), {.cleared_percent = 100}) == 0);
  CHECK(ShareAt(kStart, {.cleared_percent = 100}) == Approx(0.02));
}

TEST_CASE(
    "a move too short for its bake does not fit, and its ramp ends at the "
    "start") {
  move late = kMove;
  late.by = kStart + seconds(20);
  CHECK(FitsInTime(kMove, kPolicy));
  CHECK_FALSE(FitsInTime(late, kPolicy));
  CHECK(FullShareAt(late, kPolicy) == kStart);
}

TEST_CASE("a share cap ends at its expiry time") {
  const base::instant now = kStart + seconds(250);
  const earned_share cautious{.cleared_percent = 100,
                              .cautious_until = now + seconds(1)};
  CHECK(ShareAt(now, cautious) == Approx(kCautiousShare));
  CHECK(ShareAt(now + seconds(1), cautious) > kCautiousShare);
}

TEST_CASE("clocks that differ by 500 ms give nearly the same share") {
  const base::instant now = kStart + seconds(100);
  const earned_share earned{.cleared_percent = 100};
  CHECK(ShareAt(now + milliseconds(500), earned) - ShareAt(now, earned) < 0.01);
}

TEST_CASE("a share cap ends after a number of calls, and a cooldown follows") {
  move_judge judge(1e-12);  // Too small a budget for a rollback.
  evidence_report report{.move_id = "m", .node_id = "n", .incarnation = 1};
  report.old_version = {{.route = "a"}};
  report.new_version = {{.route = "a"}};
  const auto fail = [&](std::uint64_t calls) {
    ++report.sequence;
    report.new_version[0].calls += calls;
    report.new_version[0].failures += calls;
    judge.Merge(report);
    judge.Weigh(kMove, kPolicy, kStart + seconds(10));
  };
  fail(5);
  CHECK(judge.WantsCaution());
  fail(60);
  CHECK_FALSE(judge.WantsCaution());
  fail(100);
  CHECK_FALSE(judge.WantsCaution());
  fail(300);
  CHECK(judge.WantsCaution());
}

}  // namespace
}  // namespace fireflyspar::decisions
