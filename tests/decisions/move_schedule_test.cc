#include "decisions/move_schedule.h"

#include <catch2/catch.hpp>

#include "decisions/move_evaluator.h"

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
                 .complete_by = kStart + seconds(300)};

double ShareAt(base::instant now, const share_limits& limits) {
  return AllowedShare(kMove, kPolicy, limits, now);
}

TEST_CASE(
    "the ramp leaves time for the bake and a margin before the deadline") {
  const base::instant full = FullShareAt(kMove, kPolicy);
  CHECK(full == kMove.complete_by - seconds(30) - seconds(15));
  CHECK(ShareAt(full, {.proven_percent = 100}) == Approx(kFullShare));
  CHECK(ShareAt(kStart - milliseconds(1), {.proven_percent = 100}) == 0);
  CHECK(ShareAt(kStart, {.proven_percent = 100}) == Approx(0.02));
}

TEST_CASE(
    "a move too short for its bake does not fit, and its ramp ends at the "
    "start") {
  move late = kMove;
  late.complete_by = kStart + seconds(20);
  CHECK(FitsInTime(kMove, kPolicy));
  CHECK_FALSE(FitsInTime(late, kPolicy));
  CHECK(FullShareAt(late, kPolicy) == kStart);
}

TEST_CASE("a share cap ends at its expiry time") {
  const base::instant now = kStart + seconds(250);
  const share_limits capped{.proven_percent = 100,
                            .share_capped_until = now + seconds(1)};
  CHECK(ShareAt(now, capped) == Approx(kSuspicionShareCap));
  CHECK(ShareAt(now + seconds(1), capped) > kSuspicionShareCap);
}

TEST_CASE("clocks that differ by 500 ms give nearly the same share") {
  const base::instant now = kStart + seconds(100);
  const share_limits limits{.proven_percent = 100};
  CHECK(ShareAt(now + milliseconds(500), limits) - ShareAt(now, limits) < 0.01);
}

TEST_CASE("a share cap ends after a number of calls, and a cooldown follows") {
  move_evaluator evaluator(1e-12);  // Too small a budget for a rollback.
  evidence_report report{.move_id = "m", .node_id = "n", .incarnation = 1};
  report.old_version = {{.route = "a"}};
  report.new_version = {{.route = "a"}};
  const auto fail = [&](std::uint64_t calls) {
    ++report.sequence;
    report.new_version[0].calls += calls;
    report.new_version[0].failures += calls;
    evaluator.Merge(report);
    evaluator.Evaluate(kMove, kPolicy, kStart + seconds(10));
  };
  fail(5);
  CHECK(evaluator.WantsShareCap());
  fail(60);
  CHECK_FALSE(evaluator.WantsShareCap());
  fail(100);
  CHECK_FALSE(evaluator.WantsShareCap());
  fail(300);
  CHECK(evaluator.WantsShareCap());
}

}  // namespace
}  // namespace fireflyspar::decisions
