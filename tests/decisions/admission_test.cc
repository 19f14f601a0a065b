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
constexpr base::instant kFar = kNow + seconds(100);

admission Serving(int slots) {
  admission gate;
  gate.SetServer(server_state::kServing, slots, kNow);
  return gate;
}

TEST_CASE("as many run as there are slots, then some wait, then none") {
  admission gate = Serving(2);
  CHECK(gate.Enter(1, kFar, kNow).step == admission_step::kRun);
  CHECK(gate.Enter(2, kFar, kNow).step == admission_step::kRun);
  CHECK(gate.Enter(3, kFar, kNow).step == admission_step::kWait);
  CHECK(gate.Enter(4, kFar, kNow).step == admission_step::kWait);
  const auto fifth = gate.Enter(5, kFar, kNow);
  CHECK(fifth.step == admission_step::kRefuse);
  CHECK(fifth.reason == error_kind::kShed);
  const auto turns = gate.Leave({.duration = milliseconds(10)}, kNow);
  REQUIRE(turns.size() == 1);
  CHECK(turns[0].ticket == 3);
  CHECK(turns[0].verdict.step == admission_step::kRun);
  CHECK(gate.InFlight() == 2);
}

TEST_CASE("a request that would wait past its deadline is refused at once") {
  admission gate = Serving(1);
  gate.Enter(1, kFar, kNow);
  gate.Leave({.duration = milliseconds(100)}, kNow);
  gate.Enter(2, kFar, kNow);
  // It would wait 100 ms and then take 100 ms.
  CHECK(gate.Enter(3, kNow + milliseconds(150), kNow).step ==
        admission_step::kRefuse);
  CHECK(gate.Enter(4, kNow + milliseconds(250), kNow).step ==
        admission_step::kWait);
}

TEST_CASE("who waits past the deadline is told so, and who left is forgotten") {
  admission gate = Serving(3);
  for (std::uint64_t ticket = 1; ticket <= 3; ++ticket) {
    gate.Enter(ticket, kFar, kNow);
  }
  gate.Enter(4, kNow + milliseconds(50), kNow);
  gate.Enter(5, kFar, kNow);
  CHECK(gate.Abandon(5));
  CHECK_FALSE(gate.Abandon(5));
  const auto turns = gate.Tick(kNow + milliseconds(51));
  REQUIRE(turns.size() == 1);
  CHECK(turns[0].ticket == 4);
  CHECK(turns[0].verdict.reason == error_kind::kDeadlinePassed);
}

TEST_CASE("a leaving server gets nothing new, and who waits is told") {
  admission gate = Serving(1);
  gate.Enter(1, kFar, kNow);
  gate.Enter(2, kFar, kNow);
  gate.Drain();
  CHECK(gate.Enter(3, kFar, kNow).reason == error_kind::kDraining);
  const auto turns = gate.Tick(kNow);
  REQUIRE(turns.size() == 1);
  CHECK(turns[0].verdict.reason == error_kind::kDraining);
  CHECK(gate.InFlight() == 1);
}

TEST_CASE("the limit falls when the server sheds and comes back slowly") {
  admission gate = Serving(10);
  for (std::uint64_t ticket = 1; ticket <= 10; ++ticket) {
    gate.Enter(ticket, kFar, kNow);
  }
  base::instant now = kNow + seconds(1);
  gate.Leave({.shed = true}, now);
  const int cut = gate.Limit(now);
  CHECK(cut == 7);
  int answers = 0;
  while (gate.Limit(now) < 10 && answers < 1000) {
    gate.Leave({.duration = milliseconds(1)}, now);
    gate.Enter(100 + static_cast<std::uint64_t>(answers), kFar, now);
    ++answers;
  }
  CHECK(answers > 50);
  CHECK(answers < 1000);
}

TEST_CASE("a cold server's slots open one after another") {
  admission gate;
  gate.SetServer(server_state::kStarting, 10, kNow);
  CHECK(gate.Limit(kNow) == 1);
  CHECK(gate.Limit(kNow + seconds(5)) == 5);
  CHECK(gate.Limit(kNow + seconds(10)) == 10);
  gate.SetServer(server_state::kServing, 10, kNow + seconds(2));
  CHECK(gate.Limit(kNow + seconds(2)) == 10);
}

TEST_CASE("retries are a share of first tries") {
  retry_budget budget;
  for (int call = 0; call < 100; ++call) budget.OnFirstTry(kNow);
  int taken = 0;
  while (budget.TryTake(10, kNow)) ++taken;
  CHECK(taken == 11);  // 10%, and the one that is free.
  CHECK_FALSE(budget.TryTake(0, kNow + seconds(60)));
  CHECK(budget.TryTake(10, kNow + seconds(60)));
}

TEST_CASE("a rate limit holds one second's worth") {
  rate_limit limit;
  int taken = 0;
  while (limit.TryTake(5, kNow)) ++taken;
  CHECK(taken == 5);
  CHECK(limit.TryTake(5, kNow + milliseconds(250)));
  CHECK_FALSE(limit.TryTake(5, kNow + milliseconds(250)));
}

TEST_CASE("one caller's calls in flight are counted apart from another's") {
  caller_limit limit;
  CHECK(limit.Enter("a", 1));
  CHECK_FALSE(limit.Enter("a", 1));
  CHECK(limit.Enter("b", 1));
  limit.Leave("a");
  CHECK(limit.Enter("a", 1));
}

}  // namespace
}  // namespace fireflyspar::decisions
