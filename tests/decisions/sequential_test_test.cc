#include "decisions/sequential_test.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <cstdint>

#include "base/hooks.h"

namespace fireflyspar::decisions {
namespace {

constexpr sequential_test_options kOptions{.tolerance = 0.005,
                                           .excesses = {0.03, 0.1, 0.35, 0.95},
                                           .prior_rate = 0.005};

// Returns the mean of a block's e-value over all outcomes if the old version
// has hit rate `p` and the new one hit rate `q`.
double MeanEvidence(std::uint64_t old_calls, std::uint64_t new_calls, double p,
                    double q) {
  const auto chance = [](std::uint64_t calls, std::uint64_t hits, double rate) {
    const auto n = static_cast<double>(calls);
    const auto k = static_cast<double>(hits);
    return std::exp(std::lgamma(n + 1) - std::lgamma(k + 1) -
                    std::lgamma(n - k + 1) + k * std::log(rate) +
                    (n - k) * std::log(1 - rate));
  };
  constexpr double kA = 0.01;
  constexpr double kB = 0.36;
  double mean = 0;
  for (std::uint64_t x = 0; x <= old_calls; ++x) {
    for (std::uint64_t y = 0; y <= new_calls; ++y) {
      const trial_block block{old_calls, x, new_calls, y};
      mean += chance(old_calls, x, p) * chance(new_calls, y, q) *
              std::exp(LogBlockEvidence(block, kA, kB, kOptions.tolerance));
    }
  }
  return mean;
}

TEST_CASE(
    "the mean e-value of a block is at most one under the null hypothesis") {
  constexpr double kRounding = 1e-6;
  for (const double p : {0.001, 0.01, 0.1, 0.3, 0.6, 0.9}) {
    for (const double better_by : {-0.005, 0.0, 0.0005}) {
      const double q = p - better_by;
      CHECK(MeanEvidence(40, 1, p, q) <= 1 + kRounding);
      CHECK(MeanEvidence(10, 10, p, q) <= 1 + kRounding);
      CHECK(MeanEvidence(1, 19, p, q) <= 1 + kRounding);
    }
  }
}

TEST_CASE(
    "the mean e-value of a block exceeds one if the new version is worse") {
  CHECK(MeanEvidence(40, 1, 0.01, 0.36) > 1.5);
  CHECK(MeanEvidence(10, 10, 0.01, 0.36) > 1.5);
}

TEST_CASE("a block without calls of one of the versions is no evidence") {
  sequential_test test(kOptions);
  test.Add({.new_calls = 100, .new_hits = 100});
  CHECK(test.LogEvidence() <= 0);
}

TEST_CASE("an overload that affects both versions alike is no evidence") {
  sequential_test test(kOptions);
  for (int block = 0; block < 1000; ++block) {
    const bool is_burst = block % 100 < 20;
    test.Add({.old_calls = 10,
              .old_hits = is_burst ? 5U : 0U,
              .new_calls = 10,
              .new_hits = is_burst ? 5U : 0U});
    REQUIRE(test.LogEvidence() < std::log(100.0));
  }
}

TEST_CASE("a fault that begins late is detected within ten blocks") {
  sequential_test test(kOptions);
  for (int block = 0; block < 2000; ++block) {
    test.Add({.old_calls = 10, .new_calls = 10});
  }
  int blocks = 0;
  while (test.LogEvidence() < std::log(1000.0) && blocks < 100) {
    test.Add({.old_calls = 10, .new_calls = 10, .new_hits = 3});
    ++blocks;
  }
  CHECK(blocks < 10);
}

TEST_CASE("the false alarm rate of many long tests stays within the budget") {
  constexpr int kTests = 400;
  constexpr int kBlocks = 500;
  constexpr double kBudget = 0.05;
  const base::random_hook random = base::SeededRandom(7);
  const auto hits = [&](int calls) {
    std::uint64_t count = 0;
    for (int call = 0; call < calls; ++call) {
      if (base::ToUnitInterval(random()) < 0.02) ++count;
    }
    return count;
  };
  int alarms = 0;
  for (int one = 0; one < kTests; ++one) {
    sequential_test test(kOptions);
    bool has_alarm = false;
    for (int block = 0; block < kBlocks && !has_alarm; ++block) {
      test.Add({.old_calls = 8,
                .old_hits = hits(8),
                .new_calls = 2,
                .new_hits = hits(2)});
      has_alarm = test.LogEvidence() >= -std::log(kBudget);
    }
    if (has_alarm) ++alarms;
  }
  CHECK(alarms <= kTests * kBudget);
}

TEST_CASE("three failures in quick succession are suspicious, one is not") {
  sequential_test test(kOptions);
  test.UpdateCusum(1, 1);
  CHECK_FALSE(test.IsSuspicious());
  test.UpdateCusum(4, 2);
  CHECK(test.IsSuspicious());
  test.UpdateCusum(100, 0);
  CHECK_FALSE(test.IsSuspicious());
}

}  // namespace
}  // namespace fireflyspar::decisions
