#include "decisions/shared_retry_budget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

namespace fireflyspar::decisions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::steady_instant kStart{std::chrono::hours(1)};

shared_retry_budget_options Options() {
  return {.ratio = 0.2, .retries_per_window = 60, .window = seconds(10)};
}

// Returns the largest number of retries in any window of 10 s when a proxy
// tries to retry each of its `per_second` requests a second.
int MaxRetries(int proxies, int per_second) {
  shared_retry_budget budget(Options());
  budget.SetProxies(proxies);
  std::vector<base::steady_instant> taken;
  for (int i = 0; i < per_second * 30; ++i) {
    const auto now =
        kStart + std::chrono::nanoseconds(seconds(30)) * i / (per_second * 30);
    budget.OnFirstAttempt("stock", now);
    if (budget.TryTake("stock", now)) taken.push_back(now);
  }
  int max_in_window = 0;
  for (std::size_t i = 0; i < taken.size(); ++i) {
    int in_window = 0;
    for (std::size_t j = i;
         j < taken.size() && taken[j] < taken[i] + seconds(10); ++j) {
      ++in_window;
    }
    max_in_window = std::max(max_in_window, in_window);
  }
  return max_in_window;
}

// Guards against a retry storm: a grey failure, in which servers fail only in
// part, makes every proxy try to retry every request.
TEST_CASE("all proxies together stay below the shared bound") {
  for (const int proxies : {1, 12, 87}) {
    const int per_second = 20;
    const double bound = 0.2 * per_second * 10 * proxies + 60;
    CHECK(MaxRetries(proxies, per_second) * proxies <= bound);
  }
}

// Guards against BUDGET over restarts: each start of a proxy began with its
// share of the fixed number anew, so restarts at a low rate of requests passed
// the bound.
TEST_CASE("restarts of proxies don't raise what all may retry together") {
  constexpr int kProxies = 12;
  constexpr seconds kLife{2};
  constexpr milliseconds kBetweenRequests{500};
  int taken = 0;
  int requests = 0;
  for (auto born = kStart; born < kStart + seconds(10); born += kLife) {
    shared_retry_budget budget(Options(), born);
    budget.SetProxies(kProxies);
    for (auto now = born; now < born + kLife; now += kBetweenRequests) {
      budget.OnFirstAttempt("stock", now);
      ++requests;
      while (budget.TryTake("stock", now)) ++taken;
    }
  }
  CHECK(taken * kProxies <= 0.2 * requests * kProxies + 60);
}

TEST_CASE("a proxy that has just started may retry soon") {
  shared_retry_budget budget(Options(), kStart);
  budget.SetProxies(12);
  CHECK_FALSE(budget.TryTake("stock", kStart));
  CHECK(budget.TryTake("stock", kStart + seconds(4)));
}

TEST_CASE("each service has a budget of its own") {
  shared_retry_budget budget(Options());
  while (budget.TryTake("stock", kStart)) {
  }
  CHECK(budget.TryTake("history", kStart));
}

TEST_CASE("an idle proxy may still retry occasionally") {
  shared_retry_budget budget(Options());
  budget.SetProxies(12);
  CHECK(budget.TryTake("stock", kStart));
}

}  // namespace
}  // namespace fireflyspar::decisions
