#include "decisions/transfer_queue.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

namespace fireflyspar::decisions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::steady_instant kStart{std::chrono::hours(1)};

// A body of kBody bytes takes 50 ms at this rate.
constexpr double kBytesPerSecond = 1e6;
constexpr std::uint64_t kBody = 50'000;

transfer_queue SlowLink(std::uint64_t max_held_bytes = 100'000'000) {
  return transfer_queue({.bytes_per_second = kBytesPerSecond,
                         .window = milliseconds(100),
                         .max_held_bytes = max_held_bytes});
}

transfer_request Body(std::uint64_t ticket, base::steady_instant now = kStart,
                      int priority = 1) {
  return {.ticket = ticket,
          .bytes = kBody,
          .priority = priority,
          .time_after = milliseconds(100),
          .objective = now + milliseconds(500),
          .deadline = now + seconds(2)};
}

std::vector<std::uint64_t> Admitted(const std::vector<queued_result>& ended) {
  std::vector<std::uint64_t> tickets;
  for (const queued_result& each : ended) {
    if (each.result.choice == admission_choice::kRun) {
      tickets.push_back(each.ticket);
    }
  }
  return tickets;
}

// The load: uploads arrive faster than a slow link moves them.
TEST_CASE("bodies cross a slow link one window at a time") {
  transfer_queue link = SlowLink();
  CHECK(link.Enter(Body(1), kStart).choice == admission_choice::kRun);
  CHECK(link.Enter(Body(2), kStart).choice == admission_choice::kRun);
  CHECK(link.Enter(Body(3), kStart).choice == admission_choice::kWait);
  CHECK(link.ProcessQueue(kStart).empty());
  link.Arrive(1, true, kStart + milliseconds(50));
  CHECK(Admitted(link.ProcessQueue(kStart + milliseconds(50))) ==
        std::vector<std::uint64_t>{3});
}

TEST_CASE("a fast link admits all bodies at once") {
  transfer_queue link;
  for (std::uint64_t ticket = 1; ticket <= 50; ++ticket) {
    CHECK(link.Enter(Body(ticket), kStart).choice == admission_choice::kRun);
  }
}

TEST_CASE("a body that can't be on time is refused before it is sent") {
  transfer_queue link = SlowLink();
  std::uint64_t ticket = 0;
  admission_result last;
  do {
    last = link.Enter(Body(++ticket), kStart);
  } while (last.choice != admission_choice::kRefuse);
  // Of 500 ms, 100 ms are left for the request itself: 8 bodies fit.
  CHECK(ticket == 9);
  CHECK(last.wait == milliseconds(400));
}

TEST_CASE(
    "a wait beyond the limit is refused, since another gate may be free") {
  transfer_queue link = SlowLink();
  link.Enter(Body(1), kStart);
  transfer_request hurried = Body(2);
  hurried.wait_limit = milliseconds(20);
  CHECK(link.Enter(hurried, kStart).choice == admission_choice::kRefuse);
}

TEST_CASE("a more urgent body crosses first, and late ones last") {
  transfer_queue link = SlowLink();
  link.Enter(Body(1), kStart);
  link.Enter(Body(2), kStart);
  transfer_request late = Body(3);
  late.objective = kStart;
  link.Enter(late, kStart);
  link.Enter(Body(4), kStart);
  link.Enter(Body(5, kStart, 0), kStart);
  const auto now = kStart + milliseconds(50);
  std::vector<std::uint64_t> order;
  for (const std::uint64_t done : {1U, 2U, 5U, 4U}) {
    link.Arrive(done, true, now);
    std::ranges::copy(Admitted(link.ProcessQueue(now)),
                      std::back_inserter(order));
  }
  CHECK(order == std::vector<std::uint64_t>{5, 4, 3});
}

TEST_CASE("a queued body that can no longer be on time is refused") {
  transfer_queue link = SlowLink();
  link.Enter(Body(1), kStart);
  link.Enter(Body(2), kStart);
  link.Enter(Body(3), kStart);
  const auto ended = link.ProcessQueue(kStart + milliseconds(1900));
  REQUIRE(ended.size() == 1);
  CHECK(ended.front().ticket == 3);
  CHECK(ended.front().result.choice == admission_choice::kRefuse);
}

TEST_CASE("an abandoned body makes room") {
  transfer_queue link = SlowLink();
  link.Enter(Body(1), kStart);
  link.Enter(Body(2), kStart);
  link.Enter(Body(3), kStart);
  CHECK(link.Backlog() == 3 * kBody);
  CHECK(link.Abandon(3));
  CHECK_FALSE(link.Abandon(3));
  CHECK(link.Backlog() == 2 * kBody);
}

// The load: the requests of bodies that have arrived wait for the server.
TEST_CASE("held bodies have a limit") {
  transfer_queue link = SlowLink(2 * kBody);
  link.Enter(Body(1), kStart);
  link.Enter(Body(2), kStart);
  link.Arrive(1, true, kStart);
  link.Arrive(2, true, kStart);
  CHECK(link.Enter(Body(3), kStart).choice == admission_choice::kWait);
  CHECK(link.ProcessQueue(kStart).empty());
  link.Release(kBody);
  CHECK(Admitted(link.ProcessQueue(kStart)) == std::vector<std::uint64_t>{3});
}

TEST_CASE("the rate is learnt from the bodies that cross the link") {
  transfer_queue link = SlowLink();
  auto now = kStart;
  link.Enter(Body(1, now), now);
  for (std::uint64_t ticket = 2; ticket <= 60; ++ticket) {
    link.Enter(Body(ticket, now), now);
    now += milliseconds(100);  // Half of the nominal rate.
    link.Arrive(ticket - 1, true, now);
    link.Release(kBody);
    link.ProcessQueue(now);
  }
  CHECK(link.BytesPerSecond() == Approx(kBytesPerSecond / 2).epsilon(0.05));
}

TEST_CASE("an idle link does not look slow") {
  transfer_queue link = SlowLink();
  auto now = kStart;
  for (std::uint64_t ticket = 1; ticket <= 20; ++ticket) {
    link.Enter(Body(ticket, now), now);
    link.Arrive(ticket, true, now + milliseconds(50));
    link.Release(kBody);
    now += seconds(5);
  }
  CHECK(link.BytesPerSecond() == kBytesPerSecond);
}

// Guards against uploads that wait for the link until their process is gone.
TEST_CASE("a queued body with less time is refused once it has no turn") {
  transfer_queue link = SlowLink();
  for (std::uint64_t ticket = 1; ticket <= 4; ++ticket) {
    link.Enter(Body(ticket), kStart);
  }
  // Two are under way for 100 ms; the last would be used after 300 ms.
  for (const std::uint64_t ticket : {3U, 4U}) {
    link.Shorten(ticket, kStart + milliseconds(280));
  }
  const auto ended = link.ProcessQueue(kStart);
  REQUIRE(ended.size() == 1);
  CHECK(ended.front().ticket == 4);
  CHECK(ended.front().result.choice == admission_choice::kRefuse);
}

}  // namespace
}  // namespace fireflyspar::decisions
