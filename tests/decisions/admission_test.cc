#include "decisions/admission.h"

#include <catch2/catch.hpp>

#include "decisions/rate_limit.h"
#include "decisions/retry_budget.h"

namespace fireflyspar::decisions {
namespace {

using base::error_kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::instant kNow{std::chrono::hours(1)};
constexpr base::instant kFarDeadline = kNow + seconds(100);

admission Serving(int slots) {
  admission gate;
  gate.SetServer(server_state::kServing, slots, kNow);
  return gate;
}

TEST_CASE("requests run up to the slots, then queue, then are refused") {
  admission gate = Serving(2);
  CHECK(gate.Enter(1, kFarDeadline, kNow).step == admission_step::kRun);
  CHECK(gate.Enter(2, kFarDeadline, kNow).step == admission_step::kRun);
  CHECK(gate.Enter(3, kFarDeadline, kNow).step == admission_step::kWait);
  CHECK(gate.Enter(4, kFarDeadline, kNow).step == admission_step::kWait);
  const auto fifth = gate.Enter(5, kFarDeadline, kNow);
  CHECK(fifth.step == admission_step::kRefuse);
  CHECK(fifth.reason == error_kind::kShed);
  const auto results = gate.Leave({.duration = milliseconds(10)}, kNow);
  REQUIRE(results.size() == 1);
  CHECK(results[0].ticket == 3);
  CHECK(results[0].verdict.step == admission_step::kRun);
  CHECK(gate.InFlight() == 2);
}

TEST_CASE("a request that would end past its deadline is refused at once") {
  admission gate = Serving(1);
  gate.Enter(1, kFarDeadline, kNow);
  gate.Leave({.duration = milliseconds(100)}, kNow);
  gate.Enter(2, kFarDeadline, kNow);
  // A new request would wait 100 ms and then run for 100 ms.
  CHECK(gate.Enter(3, kNow + milliseconds(150), kNow).step ==
        admission_step::kRefuse);
  CHECK(gate.Enter(4, kNow + milliseconds(250), kNow).step ==
        admission_step::kWait);
}

TEST_CASE(
    "a queued request is refused at its deadline, an abandoned one removed") {
  admission gate = Serving(3);
  for (std::uint64_t ticket = 1; ticket <= 3; ++ticket) {
    gate.Enter(ticket, kFarDeadline, kNow);
  }
  gate.Enter(4, kNow + milliseconds(50), kNow);
  gate.Enter(5, kFarDeadline, kNow);
  CHECK(gate.Abandon(5));
  CHECK_FALSE(gate.Abandon(5));
  const auto results = gate.Tick(kNow + milliseconds(51));
  REQUIRE(results.size() == 1);
  CHECK(results[0].ticket == 4);
  CHECK(results[0].verdict.reason == error_kind::kDeadlinePassed);
}

TEST_CASE("a draining gate refuses new and queued requests") {
  admission gate = Serving(1);
  gate.Enter(1, kFarDeadline, kNow);
  gate.Enter(2, kFarDeadline, kNow);
  gate.Drain();
  CHECK(gate.Enter(3, kFarDeadline, kNow).reason == error_kind::kDraining);
  const auto results = gate.Tick(kNow);
  REQUIRE(results.size() == 1);
  CHECK(results[0].verdict.reason == error_kind::kDraining);
  CHECK(gate.InFlight() == 1);
}

TEST_CASE("the limit falls at a shed and recovers slowly") {
  admission gate = Serving(10);
  for (std::uint64_t ticket = 1; ticket <= 10; ++ticket) {
    gate.Enter(ticket, kFarDeadline, kNow);
  }
  base::instant now = kNow + seconds(1);
  gate.Leave({.shed = true}, now);
  const int cut = gate.Limit(now);
  CHECK(cut == 7);
  int answers = 0;
  while (gate.Limit(now) < 10 && answers < 1000) {
    gate.Leave({.duration = milliseconds(1)}, now);
    gate.Enter(100 + static_cast<std::uint64_t>(answers), kFarDeadline, now);
    ++answers;
  }
  CHECK(answers > 50);
  CHECK(answers < 1000);
}

TEST_CASE("a cold server's limit rises from one slot to all") {
  admission gate;
  gate.SetServer(server_state::kStarting, 10, kNow);
  CHECK(gate.Limit(kNow) == 1);
  CHECK(gate.Limit(kNow + seconds(5)) == 5);
  CHECK(gate.Limit(kNow + seconds(10)) == 10);
  gate.SetServer(server_state::kServing, 10, kNow + seconds(2));
  CHECK(gate.Limit(kNow + seconds(2)) == 10);
}

TEST_CASE("retries are limited to a percentage of first attempts") {
  retry_budget budget;
  for (int call = 0; call < 100; ++call) budget.OnFirstAttempt(kNow);
  int taken = 0;
  while (budget.TryTake(10, kNow)) ++taken;
  CHECK(taken == 11);  // 10%, and one free retry per window.
  CHECK_FALSE(budget.TryTake(0, kNow + seconds(60)));
  CHECK(budget.TryTake(10, kNow + seconds(60)));
}

TEST_CASE("a rate limit allows a burst of one second's calls") {
  rate_limit limit;
  int taken = 0;
  while (limit.TryTake(5, kNow)) ++taken;
  CHECK(taken == 5);
  CHECK(limit.TryTake(5, kNow + milliseconds(250)));
  CHECK_FALSE(limit.TryTake(5, kNow + milliseconds(250)));
}

TEST_CASE("calls in flight are limited for each caller separately") {
  caller_limit limit;
  CHECK(limit.Enter("a", 1));
  CHECK_FALSE(limit.Enter("a", 1));
  CHECK(limit.Enter("b", 1));
  limit.Leave("a");
  CHECK(limit.Enter("a", 1));
}

}  // namespace
}  // namespace fireflyspar::decisions
