#include "decisions/repeat_budget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

namespace fireflyspar::decisions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::steady_instant kStart{std::chrono::hours(1)};

repeat_budget_options Options() {
  return {.ratio = 0.2, .slack = 60, .window = seconds(10)};
}

// The most repeats in any window of 10 s when a proxy wants to repeat each of
// its requests, `per_second` of them.
int MostRepeats(int proxies, int per_second) {
  repeat_budget budget(Options());
  budget.SetProxies(proxies);
  std::vector<base::steady_instant> taken;
  for (int i = 0; i < per_second * 30; ++i) {
    const auto now =
        kStart + std::chrono::nanoseconds(seconds(30)) * i / (per_second * 30);
    budget.OnFirstSend("stock", now);
    if (budget.TryTake("stock", now)) taken.push_back(now);
  }
  int most = 0;
  for (std::size_t i = 0; i < taken.size(); ++i) {
    int in_window = 0;
    for (std::size_t j = i;
         j < taken.size() && taken[j] < taken[i] + seconds(10); ++j) {
      ++in_window;
    }
    most = std::max(most, in_window);
  }
  return most;
}

// The pattern: a grey failure makes every proxy want to repeat everything.
TEST_CASE("all proxies together stay below the shared bound") {
  for (const int proxies : {1, 12, 87}) {
    const int per_second = 20;
    const double bound = 0.2 * per_second * 10 * proxies + 60;
    CHECK(MostRepeats(proxies, per_second) * proxies <= bound);
  }
}

TEST_CASE("services have accounts of their own") {
  repeat_budget budget(Options());
  while (budget.TryTake("stock", kStart)) {
  }
  CHECK(budget.TryTake("history", kStart));
}

TEST_CASE("an idle proxy may still repeat now and then") {
  repeat_budget budget(Options());
  budget.SetProxies(12);
  CHECK(budget.TryTake("stock", kStart));
}

}  // namespace
}  // namespace fireflyspar::decisions
