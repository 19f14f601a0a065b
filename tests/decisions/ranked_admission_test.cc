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

struct request_options {
  std::uint64_t ticket = 0;
  bool is_nested_call = false;
  int priority = 1;
  milliseconds objective{500};
  milliseconds deadline{1500};
};

admission_request Request(const request_options& options,
                          base::steady_instant now = kStart) {
  return {.ticket = options.ticket,
          .is_nested_call = options.is_nested_call,
          .priority = options.priority,
          .typical_duration = milliseconds(100),
          .objective = now + options.objective,
          .deadline = now + options.deadline};
}

// Returns a gate whose slots are all taken, by tickets from 1000 on.
ranked_admission Full(int slots) {
  ranked_admission gate;
  gate.Open(slots);
  for (int i = 0; i < slots; ++i) {
    gate.Enter(Request({.ticket = 1000U + static_cast<unsigned>(i)}), kStart);
  }
  return gate;
}

// Ends running requests and returns the tickets that left the queue, in order.
std::vector<std::uint64_t> DequeueOrder(ranked_admission& gate, int count) {
  std::vector<std::uint64_t> order;
  for (int i = 0; i < count; ++i) {
    gate.Leave(milliseconds(100));
    for (const queued_result& end : gate.ProcessQueue(kStart)) {
      order.push_back(end.ticket);
    }
  }
  return order;
}

TEST_CASE("no more requests run than the server has slots") {
  ranked_admission gate = Full(2);
  CHECK(gate.Enter(Request({.ticket = 1}), kStart).choice ==
        admission_choice::kWait);
  CHECK(gate.Running() == 2);
}

TEST_CASE(
    "a request with a wait limit of zero is refused without a free slot") {
  ranked_admission gate = Full(2);
  admission_request request = Request({.ticket = 1});
  request.wait_limit = {};
  const admission_result result = gate.Enter(request, kStart);
  CHECK(result.choice == admission_choice::kRefuse);
  CHECK(result.wait > base::duration(0));
}

// Guards against needless refusals when hundreds of proxies with stale reports
// prefer the same fast server: a refusal costs a proxy about as much as a
// request.
TEST_CASE("a request is queued within its wait limit and refused beyond it") {
  ranked_admission gate = Full(4);
  admission_request request = Request({.ticket = 1});
  request.wait_limit = milliseconds(30);  // Each place is 100 / 4 = 25 ms.
  CHECK(gate.Enter(request, kStart).choice == admission_choice::kWait);
  request.ticket = 2;
  CHECK(gate.Enter(request, kStart).choice == admission_choice::kRefuse);
}

TEST_CASE("a nested call runs before requests of any rank") {
  ranked_admission gate = Full(1);
  gate.Enter(Request({.ticket = 1, .priority = 0}), kStart);
  gate.Enter(Request({.ticket = 2, .is_nested_call = true, .priority = 2}),
             kStart);
  CHECK(DequeueOrder(gate, 2) == std::vector<std::uint64_t>{2, 1});
}

TEST_CASE("a request of a more urgent route runs first") {
  ranked_admission gate = Full(1);
  gate.Enter(Request({.ticket = 1, .priority = 2}), kStart);
  gate.Enter(Request({.ticket = 2, .priority = 0}), kStart);
  CHECK(DequeueOrder(gate, 2) == std::vector<std::uint64_t>{2, 1});
}

// Guards against retries filling the queue: callers that retry after a refusal
// are late already, and would make all later requests late too.
TEST_CASE("a request that is late anyway runs after those still on time") {
  ranked_admission gate = Full(1);
  gate.Enter(Request({.ticket = 1, .objective = milliseconds(-50)}), kStart);
  gate.Enter(Request({.ticket = 2}), kStart);
  CHECK(DequeueOrder(gate, 2) == std::vector<std::uint64_t>{2, 1});
}

TEST_CASE("a request that would miss its objective is refused at once") {
  ranked_admission gate = Full(1);
  std::uint64_t ticket = 0;
  while (gate.Enter(Request({.ticket = ++ticket}), kStart).choice ==
         admission_choice::kWait) {
  }
  // Four fit: waits of 100 to 400 ms, plus 100 ms to run, within 500 ms.
  CHECK(gate.Waiting() == 4);
}

TEST_CASE("a nested call may wait until its deadline") {
  ranked_admission gate = Full(1);
  const auto result = gate.Enter(
      Request(
          {.ticket = 1, .is_nested_call = true, .objective = milliseconds(50)}),
      kStart);
  CHECK(result.choice == admission_choice::kWait);
}

// Guards against wasted slots: a request that starts just before its deadline
// holds a slot until then and cannot finish.
TEST_CASE("a queued request is refused if its typical time no longer fits") {
  ranked_admission gate = Full(1);
  gate.Enter(Request({.ticket = 1, .deadline = milliseconds(600)}), kStart);
  const auto late = kStart + milliseconds(550);
  gate.Leave(milliseconds(550));
  const auto ended = gate.ProcessQueue(late);
  REQUIRE(ended.size() == 1);
  CHECK(ended.front().result.choice == admission_choice::kRefuse);
}

TEST_CASE("a closed gate refuses queued requests") {
  ranked_admission gate = Full(1);
  gate.Enter(Request({.ticket = 1}), kStart);
  gate.Close(base::error_kind::kDraining);
  const auto ended = gate.ProcessQueue(kStart);
  REQUIRE(ended.size() == 1);
  CHECK(ended.front().result.reason == base::error_kind::kDraining);
}

TEST_CASE("an abandoned request never runs") {
  ranked_admission gate = Full(1);
  gate.Enter(Request({.ticket = 1}), kStart);
  CHECK(gate.Abandon(1));
  CHECK_FALSE(gate.Abandon(1));
  CHECK(DequeueOrder(gate, 1).empty());
}

// The results of a gate under a steady load.
struct load_result {
  int on_time = 0;
  int late = 0;
  int wasted = 0;  // Ended past the deadline.
  int held = 0;    // Refused after they were queued.
  // Longest time in the queue before a refusal.
  milliseconds longest_refused_wait{0};
};

struct load_options {
  int slots = 6;
  int per_second = 0;
  // Times at the server, by turns; 100 ms in the mean.
  std::vector<milliseconds> times{milliseconds(100)};
  milliseconds duration_margin{0};
  int returns = 0;  // How often a refused caller comes back.
  milliseconds return_after{100};
};

// Simulates a gate under new callers for 20 s.
load_result Load(const load_options& options) {
  struct caller {
    base::steady_instant first_came;
    base::steady_instant came;
    int returns = 0;
  };
  ranked_admission gate;
  gate.Open(options.slots);
  std::multimap<base::steady_instant, caller> arrivals;
  std::map<std::uint64_t, caller> callers;
  std::multimap<base::steady_instant, std::uint64_t> running;
  load_result result;
  const auto time_of = [&](std::uint64_t ticket) {
    return options.times[ticket % options.times.size()];
  };
  const auto handle = [&](const queued_result& end, base::steady_instant now) {
    if (end.result.choice == admission_choice::kRun) {
      running.emplace(now + time_of(end.ticket), end.ticket);
    }
    if (end.result.choice != admission_choice::kRefuse) return;
    caller refused = callers[end.ticket];
    result.longest_refused_wait =
        std::max(result.longest_refused_wait,
                 std::chrono::duration_cast<milliseconds>(now - refused.came));
    if (now > refused.came) ++result.held;
    if (refused.returns++ == options.returns) return;
    refused.came = now + options.return_after;
    arrivals.emplace(refused.came, refused);
  };
  const auto process_queue = [&](base::steady_instant now) {
    for (const queued_result& end : gate.ProcessQueue(now)) handle(end, now);
  };
  const auto finish_until = [&](base::steady_instant now) {
    while (!running.empty() && running.begin()->first <= now) {
      const auto [when, ticket] = *running.begin();
      running.erase(running.begin());
      const auto took = when - callers[ticket].first_came;
      ++(took <= milliseconds(500) ? result.on_time : result.late);
      if (took > milliseconds(1500)) ++result.wasted;
      gate.Leave(time_of(ticket));
      process_queue(when);
    }
  };
  const int total = options.per_second * 20;
  for (int i = 0; i < total; ++i) {
    const auto now = kStart + std::chrono::nanoseconds(seconds(20)) * i / total;
    arrivals.emplace(now, caller{.first_came = now, .came = now});
  }
  std::uint64_t ticket = 0;
  while (!arrivals.empty()) {
    const caller arrived = arrivals.extract(arrivals.begin()).mapped();
    const auto now = arrived.came;
    finish_until(now);
    callers[++ticket] = arrived;
    admission_request request = Request({.ticket = ticket}, arrived.first_came);
    request.duration_margin = options.duration_margin;
    handle({.ticket = ticket, .result = gate.Enter(request, now)}, now);
    process_queue(now);
  }
  finish_until(kStart + seconds(30));
  return result;
}

// Guards against collapse under a lasting load of three times the capacity: the
// capacity must go to requests that are on time, none may run past its
// deadline, and none may be refused after it was queued.
TEST_CASE("at three times its capacity a server still answers on time") {
  const load_result result = Load({.per_second = 180});
  CHECK(result.on_time >= 1140);  // The capacity is 1,200.
  CHECK(result.wasted == 0);
  CHECK(result.longest_refused_wait == milliseconds(0));
}

TEST_CASE("a load within the capacity is served without refusals") {
  CHECK(Load({.per_second = 50}).on_time == 1000);
}

// Guards against a queue that a lasting overload fills up to the longest wait
// with which the typical request is just in time: all that took longer than the
// typical time ended late, a third of what the server did.
TEST_CASE("under a lasting overload requests of mixed length are on time") {
  const std::vector<milliseconds> mixed{milliseconds(40), milliseconds(190),
                                        milliseconds(60), milliseconds(130),
                                        milliseconds(80)};
  for (const int per_second : {60, 120, 240}) {
    const load_result result = Load({.per_second = per_second,
                                     .times = mixed,
                                     .duration_margin = milliseconds(96)});
    CAPTURE(per_second, result.on_time, result.late);
    // The margin covers nine in ten, and the capacity is 1,200.
    CHECK(result.on_time >= 1080);
  }
}

// Guards against callers that are held until their deadline and then refused:
// under an overload that lasts they come back late, and every slot goes to
// others that can still be on time.
TEST_CASE("under a lasting overload callers that come back are not held") {
  for (const int per_second : {90, 120, 240}) {
    const load_result result = Load({.per_second = per_second,
                                     .returns = 2,
                                     .return_after = milliseconds(450)});
    CAPTURE(per_second, result.on_time, result.late, result.held);
    CHECK(result.on_time >= 1140);  // The capacity is 1,200.
    CHECK(result.longest_refused_wait == milliseconds(0));
  }
}

TEST_CASE("a late request waits only while no other can be on time") {
  ranked_admission gate = Full(1);
  const auto late = [](std::uint64_t ticket) {
    return Request({.ticket = ticket, .objective = milliseconds(-50)});
  };
  CHECK(gate.Enter(late(1), kStart).choice == admission_choice::kWait);
  gate.Enter(Request({.ticket = 2}), kStart);
  CHECK(gate.Enter(late(3), kStart).choice == admission_choice::kRefuse);
  CHECK(DequeueOrder(gate, 1) == std::vector<std::uint64_t>{2});
  CHECK(gate.Enter(late(4), kStart).choice == admission_choice::kWait);
}

// Guards against a gate that refuses whatever would have to wait, long after
// the server that made its queue wait has recovered: with nothing in the queue
// it never learnt that waits were short again.
TEST_CASE("a queue is used again after the server was slow for a while") {
  ranked_admission gate = Full(1);
  auto now = kStart;
  std::uint64_t ticket = 0;
  const auto is_queued = [&] {
    return gate.Enter(Request({.ticket = ++ticket}, now), now).choice ==
           admission_choice::kWait;
  };
  // Each request waits ten times as long as expected.
  for (int slow = 0; slow < 40; ++slow) {
    if (!is_queued()) break;
    now += seconds(1);
    gate.Leave(milliseconds(100));
    gate.ProcessQueue(now);
  }
  now += seconds(5);
  CHECK(is_queued());
}

// Guards against servers that are never given a queue, since a request may take
// longer than its objective allows.
TEST_CASE("half of the spare time is left for the queue") {
  ranked_admission gate = Full(1);
  admission_request request = Request({.ticket = 1});
  request.duration_margin = seconds(10);
  // It can spare 400 ms, and each place is 100 ms.
  CHECK(gate.Enter(request, kStart).choice == admission_choice::kWait);
  request.ticket = 2;
  CHECK(gate.Enter(request, kStart).choice == admission_choice::kWait);
  request.ticket = 3;
  CHECK(gate.Enter(request, kStart).choice == admission_choice::kRefuse);
}

// Guards against LIMIT: slots alone decided what a server got.
TEST_CASE("under a limit a request waits for its turn beside free slots") {
  ranked_admission gate;
  gate.Open(6);
  gate.SetLimit(10, kStart);
  const admission_result first = gate.Enter(Request({.ticket = 1}), kStart);
  CHECK(first.choice == admission_choice::kWait);
  CHECK(first.wait == milliseconds(100));
  CHECK(gate.WaitForTurn(kStart) == milliseconds(100));
  CHECK(gate.ProcessQueue(kStart + milliseconds(99)).empty());
  const auto started = gate.ProcessQueue(kStart + milliseconds(100));
  REQUIRE(started.size() == 1);
  CHECK(started.front().result.choice == admission_choice::kRun);
  CHECK_FALSE(gate.WaitForTurn(kStart + milliseconds(100)));
}

TEST_CASE("under a limit a refusal tells the wait for a turn") {
  ranked_admission gate;
  gate.Open(6);
  gate.SetLimit(10, kStart);
  for (unsigned ticket = 1; ticket <= 4; ++ticket) {
    CHECK(gate.Enter(Request({.ticket = ticket}), kStart).choice ==
          admission_choice::kWait);
  }
  // The fifth would start after 500 ms and take 100 ms; it has 500 ms.
  const admission_result fifth = gate.Enter(Request({.ticket = 5}), kStart);
  CHECK(fifth.choice == admission_choice::kRefuse);
  CHECK(fifth.wait == milliseconds(500));
}

TEST_CASE("nested calls take the first turns under a limit") {
  ranked_admission gate;
  gate.Open(6);
  gate.SetLimit(10, kStart);
  gate.Enter(Request({.ticket = 1}), kStart);
  gate.Enter(Request({.ticket = 2, .is_nested_call = true}), kStart);
  const auto started = gate.ProcessQueue(kStart + milliseconds(100));
  REQUIRE(started.size() == 1);
  CHECK(started.front().ticket == 2);
}

TEST_CASE("a lifted limit lets the queue go") {
  ranked_admission gate;
  gate.Open(6);
  gate.SetLimit(0.5, kStart);
  for (unsigned ticket = 1; ticket <= 2; ++ticket) {
    gate.Enter(Request({.ticket = ticket,
                        .objective = seconds(9),
                        .deadline = seconds(9)}),
               kStart);
  }
  REQUIRE(gate.Waiting() == 2);
  gate.SetLimit(std::nullopt, kStart);
  CHECK(gate.ProcessQueue(kStart).size() == 2);
}

// Guards against requests that wait for a turn which they can't have any more:
// the process that they came to ends.
TEST_CASE("a queued request with less time is refused once it has no turn") {
  ranked_admission gate = Full(1);
  admission_request request = Request({.ticket = 1});
  for (; request.ticket <= 4; ++request.ticket) gate.Enter(request, kStart);
  REQUIRE(gate.Waiting() == 4);
  // Each takes 100 ms: the third would end after 400 ms.
  for (const std::uint64_t ticket : {2U, 3U}) {
    gate.Shorten(ticket, kStart + milliseconds(350));
  }
  const auto ended = gate.ProcessQueue(kStart);
  REQUIRE(ended.size() == 1);
  CHECK(ended.front().ticket == 3);
  CHECK(ended.front().result.choice == admission_choice::kRefuse);
  CHECK(ended.front().result.wait > base::duration(0));
  CHECK(gate.Waiting() == 3);
}

TEST_CASE("a queued request that others overtake is refused before its end") {
  ranked_admission gate = Full(1);
  gate.Enter(Request({.ticket = 1, .priority = 2}), kStart);
  gate.Shorten(1, kStart + milliseconds(1000));
  CHECK(gate.ProcessQueue(kStart).empty());
  // It has waited four times as long as was expected, and is still no nearer.
  const auto later = kStart + milliseconds(400);
  const auto after = kStart + milliseconds(600);
  CHECK(gate.ProcessQueue(later).empty());
  CHECK(gate.ProcessQueue(after).size() == 1);
}

TEST_CASE("a queued request is only ever given less time") {
  ranked_admission gate = Full(1);
  gate.Enter(Request({.ticket = 1}), kStart);
  gate.Shorten(1, kStart + milliseconds(250));
  gate.Shorten(1, kStart + milliseconds(1500));
  gate.Shorten(7, kStart);
  CHECK(gate.ProcessQueue(kStart + milliseconds(200)).size() == 1);
}

}  // namespace
}  // namespace fireflyspar::decisions
