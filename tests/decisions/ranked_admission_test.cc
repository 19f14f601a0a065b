#include "decisions/ranked_admission.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <vector>

namespace fireflyspar::decisions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::steady_instant kStart{std::chrono::hours(1)};

struct claim_options {
  std::uint64_t ticket = 0;
  bool is_call = false;
  int rank = 1;
  milliseconds objective{500};
  milliseconds deadline{1500};
};

admission_claim Claim(const claim_options& options,
                      base::steady_instant now = kStart) {
  return {.ticket = options.ticket,
          .is_call = options.is_call,
          .rank = options.rank,
          .typical = milliseconds(100),
          .objective = now + options.objective,
          .deadline = now + options.deadline};
}

// Fills the slots of a gate with tickets from 1000 on.
ranked_admission Full(int slots) {
  ranked_admission gate;
  gate.Open(slots);
  for (int i = 0; i < slots; ++i) {
    gate.Enter(Claim({.ticket = 1000U + static_cast<unsigned>(i)}), kStart);
  }
  return gate;
}

std::vector<std::uint64_t> OrderOfTurns(ranked_admission& gate, int turns) {
  std::vector<std::uint64_t> order;
  for (int i = 0; i < turns; ++i) {
    gate.Leave(milliseconds(100));
    for (const admission_end& end : gate.Advance(kStart)) {
      order.push_back(end.ticket);
    }
  }
  return order;
}

TEST_CASE("no more run than the server has slots") {
  ranked_admission gate = Full(2);
  CHECK(gate.Enter(Claim({.ticket = 1}), kStart).choice ==
        admission_choice::kWait);
  CHECK(gate.Running() == 2);
}

TEST_CASE("who may not wait is refused when no slot is free") {
  ranked_admission gate = Full(2);
  admission_claim claim = Claim({.ticket = 1});
  claim.wait_limit = {};
  const admission_result result = gate.Enter(claim, kStart);
  CHECK(result.choice == admission_choice::kRefuse);
  CHECK(result.wait > base::duration(0));
}

// The pattern: hundreds of routers with stale reports prefer the same fast
// server. Each refusal costs its proxy about as much as a request.
TEST_CASE("a wait within the limit is taken, a longer one is refused") {
  ranked_admission gate = Full(4);
  admission_claim claim = Claim({.ticket = 1});
  claim.wait_limit = milliseconds(30);  // One place is 100 / 4 = 25 ms.
  CHECK(gate.Enter(claim, kStart).choice == admission_choice::kWait);
  claim.ticket = 2;
  CHECK(gate.Enter(claim, kStart).choice == admission_choice::kRefuse);
}

TEST_CASE("a running server's call goes before requests of any rank") {
  ranked_admission gate = Full(1);
  gate.Enter(Claim({.ticket = 1, .rank = 0}), kStart);
  gate.Enter(Claim({.ticket = 2, .is_call = true, .rank = 2}), kStart);
  CHECK(OrderOfTurns(gate, 2) == std::vector<std::uint64_t>{2, 1});
}

TEST_CASE("a more urgent route goes first") {
  ranked_admission gate = Full(1);
  gate.Enter(Claim({.ticket = 1, .rank = 2}), kStart);
  gate.Enter(Claim({.ticket = 2, .rank = 0}), kStart);
  CHECK(OrderOfTurns(gate, 2) == std::vector<std::uint64_t>{2, 1});
}

// The pattern: callers that came back after a refusal fill the queue, so that
// all who come later are late too.
TEST_CASE("a request that is late anyway goes behind those still on time") {
  ranked_admission gate = Full(1);
  gate.Enter(Claim({.ticket = 1, .objective = milliseconds(-50)}), kStart);
  gate.Enter(Claim({.ticket = 2}), kStart);
  CHECK(OrderOfTurns(gate, 2) == std::vector<std::uint64_t>{2, 1});
}

TEST_CASE("who would wait past the objective is refused at once") {
  ranked_admission gate = Full(1);
  std::uint64_t ticket = 0;
  while (gate.Enter(Claim({.ticket = ++ticket}), kStart).choice ==
         admission_choice::kWait) {
  }
  // Four fit: 100 ms each, and the own time within 500 ms.
  CHECK(gate.Waiting() == 4);
}

TEST_CASE("a call may wait until its deadline") {
  ranked_admission gate = Full(1);
  const auto result = gate.Enter(
      Claim({.ticket = 1, .is_call = true, .objective = milliseconds(50)}),
      kStart);
  CHECK(result.choice == admission_choice::kWait);
}

// The pattern: requests that start with next to nothing left hold a slot until
// their deadline and give nothing.
TEST_CASE("a request starts only with its typical time left") {
  ranked_admission gate = Full(1);
  gate.Enter(Claim({.ticket = 1, .deadline = milliseconds(600)}), kStart);
  const auto late = kStart + milliseconds(550);
  gate.Leave(milliseconds(550));
  const auto ended = gate.Advance(late);
  REQUIRE(ended.size() == 1);
  CHECK(ended.front().result.choice == admission_choice::kRefuse);
}

TEST_CASE("a closed gate refuses those that wait") {
  ranked_admission gate = Full(1);
  gate.Enter(Claim({.ticket = 1}), kStart);
  gate.Close(base::error_kind::kDraining);
  const auto ended = gate.Advance(kStart);
  REQUIRE(ended.size() == 1);
  CHECK(ended.front().result.reason == base::error_kind::kDraining);
}

TEST_CASE("an abandoned claim gets no turn") {
  ranked_admission gate = Full(1);
  gate.Enter(Claim({.ticket = 1}), kStart);
  CHECK(gate.Abandon(1));
  CHECK_FALSE(gate.Abandon(1));
  CHECK(OrderOfTurns(gate, 1).empty());
}

// What a gate under a steady load serves, and what it refuses at what moment.
struct load_result {
  int on_time = 0;
  int wasted = 0;                // Ran, but past the deadline.
  milliseconds longest_hold{0};  // Of those that were refused.
};

// `per_second` requests of 100 ms come to a gate with `slots` for 20 s.
load_result Load(int slots, int per_second) {
  struct job {
    base::steady_instant came;
    base::steady_instant started;
  };
  ranked_admission gate;
  gate.Open(slots);
  std::map<std::uint64_t, job> jobs;
  std::multimap<base::steady_instant, std::uint64_t> running;
  load_result result;
  const milliseconds service(100);
  const auto start = [&](std::uint64_t ticket, base::steady_instant now) {
    jobs[ticket].started = now;
    running.emplace(now + service, ticket);
  };
  const auto settle = [&](base::steady_instant now) {
    for (const admission_end& end : gate.Advance(now)) {
      if (end.result.choice == admission_choice::kRun) {
        start(end.ticket, now);
      } else {
        result.longest_hold = std::max(result.longest_hold,
                                       std::chrono::duration_cast<milliseconds>(
                                           now - jobs[end.ticket].came));
      }
    }
  };
  const auto finish_until = [&](base::steady_instant now) {
    while (!running.empty() && running.begin()->first <= now) {
      const auto [when, ticket] = *running.begin();
      running.erase(running.begin());
      const auto took = when - jobs[ticket].came;
      if (took <= milliseconds(500)) ++result.on_time;
      if (took > milliseconds(1500)) ++result.wasted;
      gate.Leave(service);
      settle(when);
    }
  };
  const int total = per_second * 20;
  for (int i = 0; i < total; ++i) {
    const auto now = kStart + std::chrono::nanoseconds(seconds(20)) * i / total;
    finish_until(now);
    const std::uint64_t ticket = static_cast<std::uint64_t>(i) + 1;
    jobs[ticket].came = now;
    const auto entered = gate.Enter(Claim({.ticket = ticket}, now), now);
    if (entered.choice == admission_choice::kRun) start(ticket, now);
    settle(now);
  }
  finish_until(kStart + seconds(30));
  return result;
}

// The pattern: three times the load that the server can carry, for as long as
// it takes. All it can carry is on time, nothing runs in vain, and nobody waits
// for nothing.
TEST_CASE("under three times its load a server still works for those on time") {
  const load_result result = Load(6, 180);
  CHECK(result.on_time >= 1140);  // Of 1,200 that it can run.
  CHECK(result.wasted == 0);
  CHECK(result.longest_hold == milliseconds(0));
}

TEST_CASE("under its own load nobody is refused") {
  CHECK(Load(6, 50).on_time == 1000);
}

}  // namespace
}  // namespace fireflyspar::decisions
