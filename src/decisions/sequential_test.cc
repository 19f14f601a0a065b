#include "decisions/sequential_test.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace fireflyspar::decisions {
namespace {

// Rates are clamped away from 0 and 1, where a single call could carry
// unbounded evidence.
constexpr double kMinRate = 1e-4;
constexpr double kMaxRate = 0.999;

// The cumulative sum at which the new version becomes suspicious. About three
// failures in quick succession reach it.
constexpr double kCusumThreshold = 5;

// Returns the old rate t for which (t, t + tolerance) is the point of the null
// hypothesis nearest to (a, b). There the derivative with respect to t of
// n0 KL(a|t) + n1 KL(b|t+tolerance) is zero. The derivative increases with t,
// so bisection finds the point.
double NearestNull(const trial_block& block, double a, double b,
                   double tolerance) {
  constexpr int kHalvings = 40;
  const auto n0 = static_cast<double>(block.old_calls);
  const auto n1 = static_cast<double>(block.new_calls);
  double low = a;
  double high = b - tolerance;
  for (int step = 0; step < kHalvings; ++step) {
    const double t = (low + high) / 2;
    const double u = t + tolerance;
    const double slope =
        n0 * (t - a) / (t * (1 - t)) + n1 * (u - b) / (u * (1 - u));
    (slope < 0 ? low : high) = t;
  }
  return (low + high) / 2;
}

// Returns log(p(hits | rate) / p(hits | null_rate)).
double LogLikelihoodRatio(std::uint64_t calls, std::uint64_t hits, double rate,
                          double null_rate) {
  const auto hit_count = static_cast<double>(hits);
  const auto miss_count = static_cast<double>(calls - hits);
  return hit_count * std::log(rate / null_rate) +
         miss_count * std::log((1 - rate) / (1 - null_rate));
}

// Returns the mixture weight of a fault that begins at this block. Half of the
// weight is on the first block. The other half is spread over all later ones so
// that the weights sum to one, because the sum over k >= 1 of
// s / ((k + s - 1) (k + s)) is one.
double WeightOfStart(std::uint64_t block) {
  constexpr double kSpread = 500;
  constexpr double kHalf = 0.5;
  if (block == 0) return kHalf;
  const auto k = static_cast<double>(block);
  return kHalf * kSpread / ((k + kSpread - 1) * (k + kSpread));
}

}  // namespace

double LogBlockEvidence(const trial_block& block, double a, double b,
                        double tolerance) {
  if (block.old_calls == 0 || block.new_calls == 0) return 0;
  const double t = NearestNull(block, a, b, tolerance);
  return LogLikelihoodRatio(block.old_calls, block.old_hits, a, t) +
         LogLikelihoodRatio(block.new_calls, block.new_hits, b, t + tolerance);
}

sequential_test::sequential_test(const sequential_test_options& options)
    : options_(options),
      old_hits_(options.prior_rate * options.prior_calls),
      old_calls_(options.prior_calls) {}

void sequential_test::Add(const trial_block& block) {
  constexpr double kMaxLog = 300;  // Keeps products within a double's range.
  const double a = OldRate();
  const double weight = WeightOfStart(blocks_++) / kExcessCount;
  for (std::size_t i = 0; i < kExcessCount; ++i) {
    const double b = std::min(a + options_.excesses[i], kMaxRate);
    if (b <= a + options_.tolerance) continue;
    const double gain = std::clamp(
        LogBlockEvidence(block, a, b, options_.tolerance), -kMaxLog, kMaxLog);
    evidence_[i] =
        std::min((evidence_[i] + weight) * std::exp(gain), std::exp(kMaxLog));
  }
  UpdateBaseline(block);
}

void sequential_test::UpdateCusum(std::uint64_t new_calls,
                                  std::uint64_t new_hits) {
  constexpr double kMaxCusum =
      kCusumThreshold + 1;  // Lets a suspicion end soon.
  const double rate = OldRate() + options_.tolerance;
  const double bad_rate =
      std::min(OldRate() + options_.suspicious_excess, kMaxRate);
  if (bad_rate <= rate) return;
  cusum_ = std::clamp(
      cusum_ + LogLikelihoodRatio(new_calls, new_hits, bad_rate, rate), 0.0,
      kMaxCusum);
}

bool sequential_test::IsSuspicious() const { return cusum_ >= kCusumThreshold; }

void sequential_test::UpdateBaseline(const trial_block& block) {
  constexpr double kBaselineCalls = 1000;
  old_calls_ += static_cast<double>(block.old_calls);
  old_hits_ += static_cast<double>(block.old_hits);
  if (old_calls_ <= kBaselineCalls) return;
  old_hits_ *= kBaselineCalls / old_calls_;
  old_calls_ = kBaselineCalls;
}

double sequential_test::LogEvidence() const {
  const double sum = std::accumulate(evidence_.begin(), evidence_.end(), 0.0);
  return sum > 0 ? std::log(sum) : -std::log(2.0);
}

double sequential_test::OldRate() const {
  return std::clamp(old_hits_ / old_calls_, kMinRate, kMaxRate);
}

}  // namespace fireflyspar::decisions
