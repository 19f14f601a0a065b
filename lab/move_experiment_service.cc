#include "lab/move_experiment_service.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <vector>

namespace fireflyspar::lab {
namespace {

constexpr version_kind kKinds[] = {
    {.name = "good"},
    {.name = "good-noisy", .is_noisy = true},
    {.name = "fails-100%", .is_bad = true, .failure_rate = 1},
    {.name = "fails-20%", .is_bad = true, .failure_rate = 0.2},
    {.name = "fails-5%", .is_bad = true, .failure_rate = 0.05},
    {.name = "fails-20%-later",
     .is_bad = true,
     .failure_rate = 0.2,
     .is_late = true},
    {.name = "fails-20%-under-load",
     .is_bad = true,
     .failure_rate = 0.2,
     .is_under_load = true},
    {.name = "fails-50%-on-one-route",
     .is_bad = true,
     .failure_rate = 0.5,
     .is_single_route = true},
    {.name = "slow-2x", .is_bad = true, .slowdown = 2},
    {.name = "slow-1.3x", .is_bad = true, .slowdown = 1.3},
    {.name = "slow-2x-later", .is_bad = true, .slowdown = 2, .is_late = true},
    {.name = "fails-20%-noisy",
     .is_bad = true,
     .failure_rate = 0.2,
     .is_noisy = true},
};

constexpr std::array<double, 4> kRouteEnds{0.4, 0.7, 0.9, 1.0};
constexpr std::array<std::string_view, 4> kRouteNames{"history", "sites",
                                                      "records", "orders"};
constexpr double kLoadLimit = 0.4;  // Share at which a version is overloaded.
constexpr double kMedianLatencyMicros = 20'000;
constexpr double kLatencySpread = 0.5;  // Sigma of the latency's logarithm.
constexpr double kBurstFailureRate = 0.2;
constexpr double kBurstSlowdown = 4;
constexpr double kBurstLoad = 2;
constexpr base::duration kBurst = std::chrono::seconds(15);

// Returns log-normally distributed factors with median 1, tabulated at evenly
// spaced quantiles.
const std::vector<double>& LatencyFactors() {
  static const std::vector<double> factors = [] {
    constexpr int kSize = 4096;
    std::vector<double> made(kSize);
    // Finds each normal quantile by bisection of the distribution function.
    for (int i = 0; i < kSize; ++i) {
      const double p = (i + 0.5) / kSize;
      double low = -6;
      double high = 6;
      for (int step = 0; step < 50; ++step) {
        const double z = (low + high) / 2;
        (std::erfc(-z / std::sqrt(2.0)) / 2 < p ? low : high) = z;
      }
      made[i] = std::exp(kLatencySpread * low);
    }
    return made;
  }();
  return factors;
}

}  // namespace

std::span<const version_kind> VersionKinds() { return kKinds; }

std::uint64_t split_mix::Next() {
  std::uint64_t z = (state_ += 0x9E3779B97F4A7C15U);
  z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9U;
  z = (z ^ (z >> 27)) * 0x94D049BB133111EBU;
  return z ^ (z >> 31);
}

int split_mix::Poisson(double mean) {
  // Knuth's method. The mean is split into parts, as exp(-mean) would underflow
  // for a large one.
  constexpr double kPart = 30;
  int count = 0;
  while (mean > 0) {
    const double limit = std::exp(-std::min(mean, kPart));
    for (double product = Unit(); product > limit; product *= Unit()) ++count;
    mean -= kPart;
  }
  return count;
}

simulated_service::simulated_service(const version_kind& kind,
                                     const decisions::move& value,
                                     double calls_per_second,
                                     std::uint64_t seed)
    : kind_(kind), calls_per_second_(calls_per_second), random_(seed) {
  constexpr double kLateMin = 0.25;
  constexpr double kLateMax = 0.9;
  constexpr double kMinNoise = 0.001;
  constexpr double kMaxNoise = 0.01;
  const auto random_time = [&](double min_share, double max_share) {
    const double share = min_share + (max_share - min_share) * random_.Unit();
    return value.start + std::chrono::duration_cast<base::duration>(
                             (value.complete_by - value.start) * share);
  };
  bad_from_ = random_time(kLateMin, kLateMax);
  burst_at_ = random_time(0, kLateMax);
  noise_rate_ = kMinNoise + (kMaxNoise - kMinNoise) * random_.Unit();
  for (std::size_t version = 0; version < 2; ++version) {
    for (std::size_t route = 0; route < kRoutes; ++route) {
      outcomes_[version][route] = {
          .service = value.service,
          .route = std::string(kRouteNames[route]),
          .version = version == 0 ? value.old_version : value.new_version};
    }
  }
}

bool simulated_service::IsBurst(base::instant now) const {
  return kind_.is_noisy && now >= burst_at_ && now < burst_at_ + kBurst;
}

int simulated_service::Arrivals(base::instant now, base::duration slice) {
  const std::chrono::duration<double> seconds = slice;
  const double load = IsBurst(now) ? kBurstLoad : 1;
  return random_.Poisson(calls_per_second_ * load * seconds.count());
}

std::size_t simulated_service::DrawRoute() {
  const double drawn = random_.Unit();
  const auto found =
      std::ranges::find_if(kRouteEnds, [&](double end) { return drawn < end; });
  return static_cast<std::size_t>(found - kRouteEnds.begin());
}

bool simulated_service::IsBadNow(bool to_new, std::size_t route,
                                 double new_share, base::instant now) const {
  if (!kind_.is_bad || !to_new) return false;
  if (kind_.is_late && now < bad_from_) return false;
  if (kind_.is_under_load && new_share < kLoadLimit) return false;
  return !kind_.is_single_route || route == kRoutes - 1;
}

const decisions::call_outcome& simulated_service::Run(bool to_new,
                                                      double new_share,
                                                      base::instant now) {
  const std::size_t route = DrawRoute();
  const bool is_bad = IsBadNow(to_new, route, new_share, now);
  const bool is_burst = IsBurst(now);
  const std::vector<double>& factors = LatencyFactors();

  double failure_rate = kind_.is_noisy ? noise_rate_ : 0;
  if (is_burst) failure_rate = kBurstFailureRate;
  if (is_bad) failure_rate = std::max(failure_rate, kind_.failure_rate);
  double micros = kMedianLatencyMicros * factors[random_.Below(factors.size())];
  if (is_burst) micros *= kBurstSlowdown;
  if (is_bad) micros *= kind_.slowdown;

  decisions::call_outcome& outcome = outcomes_[to_new ? 1 : 0][route];
  outcome.failed = random_.Unit() < failure_rate;
  outcome.latency = base::duration(static_cast<std::int64_t>(micros));
  const bool is_visible_fault =
      is_bad && (outcome.failed || kind_.slowdown > 1);
  if (is_visible_fault && !fault_onset_) fault_onset_ = now;
  return outcome;
}

}  // namespace fireflyspar::lab
