#include "decisions/request_rate.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

namespace fireflyspar::decisions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::steady_instant kStart{std::chrono::hours(1)};

// Takes each turn as soon as it comes; returns when they came.
std::vector<base::steady_instant> TakeAll(request_rate& rate,
                                          milliseconds span) {
  std::vector<base::steady_instant> taken;
  for (auto now = kStart; now < kStart + span; now += milliseconds(1)) {
    while (rate.HasTurn(now)) {
      rate.Take(now);
      taken.push_back(now);
    }
  }
  return taken;
}

TEST_CASE("without a limit there is always a turn") {
  request_rate rate;
  for (int i = 0; i < 1000; ++i) {
    REQUIRE(rate.HasTurn(kStart));
    rate.Take(kStart);
  }
  CHECK(rate.WaitBehind(1000, kStart) == base::duration(0));
}

TEST_CASE("the turns add up to the limit") {
  request_rate rate;
  rate.SetLimit(20, kStart);
  const auto taken = TakeAll(rate, seconds(10));
  CHECK(taken.size() >= 199);
  CHECK(taken.size() <= 201);
}

// A server in need names its limit while it gets more: it gets no burst.
TEST_CASE("a limit that was just named gives no turn at once") {
  request_rate rate;
  rate.SetLimit(20, kStart);
  CHECK_FALSE(rate.HasTurn(kStart));
  CHECK(rate.WaitBehind(0, kStart) == milliseconds(50));
  CHECK(rate.WaitBehind(2, kStart) == milliseconds(150));
}

TEST_CASE("naming the same limit again gives no further turns") {
  request_rate rate;
  rate.SetLimit(2, kStart);
  int taken = 0;
  for (auto now = kStart; now < kStart + seconds(10); now += milliseconds(10)) {
    rate.SetLimit(2, now);
    if (!rate.HasTurn(now)) continue;
    rate.Take(now);
    ++taken;
  }
  CHECK(taken <= 20);
  CHECK(taken >= 19);
}

TEST_CASE("a server that takes no requests gets one every few seconds") {
  request_rate rate;
  rate.SetLimit(0, kStart);
  const auto taken = TakeAll(rate, seconds(20));
  CHECK(taken.size() >= 3);
  CHECK(taken.size() <= 4);
}

TEST_CASE("unused turns are kept for a quarter of a second only") {
  request_rate rate;
  rate.SetLimit(20, kStart);
  const auto later = kStart + seconds(60);
  int taken = 0;
  for (; rate.HasTurn(later); ++taken) rate.Take(later);
  CHECK(taken == 5);
}

TEST_CASE("when the limit is lifted everything may be sent") {
  request_rate rate;
  rate.SetLimit(1, kStart);
  rate.SetLimit(std::nullopt, kStart);
  CHECK(rate.HasTurn(kStart));
}

// The bound is the users': in any 4 s one and a half times the limit, and five.
TEST_CASE("in any span the server gets no more than its limits allow") {
  rc::prop("whatever the limits and their changes", [] {
    const auto limits = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60)));
    request_rate rate;
    std::vector<base::steady_instant> taken;
    std::vector<double> allowed;  // In each millisecond.
    auto now = kStart;
    for (const int limit : limits) {
      rate.SetLimit(limit, now);
      const auto until = now + milliseconds(*rc::gen::inRange(1, 3000));
      for (; now < until; now += milliseconds(1)) {
        allowed.push_back(limit / 1000.0);
        while (rate.HasTurn(now)) {
          rate.Take(now);
          taken.push_back(now);
        }
      }
    }
    const auto first_ms = kStart;
    for (std::size_t i = 0; i < taken.size(); ++i) {
      const auto end = taken[i] + seconds(4);
      std::size_t count = 0;
      while (i + count < taken.size() && taken[i + count] < end) ++count;
      const auto begin_index =
          std::chrono::duration_cast<milliseconds>(taken[i] - first_ms).count();
      double sum = 0;
      for (std::int64_t at = begin_index;
           at < begin_index + 4000 &&
           at < static_cast<std::int64_t>(allowed.size());
           ++at) {
        sum += allowed[static_cast<std::size_t>(at)];
      }
      RC_ASSERT(static_cast<double>(count) <= 1.5 * sum + 5);
    }
  });
}

}  // namespace
}  // namespace fireflyspar::decisions
