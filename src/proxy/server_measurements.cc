#include "proxy/server_measurements.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace fireflyspar::proxy {
namespace {

using base::error_kind;
using std::chrono::milliseconds;

// Exponential smoothing of the server's relative latency, of its deviation and
// of the failure rate: the weight of one outcome.
constexpr double kLatencyRatioWeight = 0.125;
constexpr double kDeviationWeight = 0.0625;
constexpr double kFailureWeight = 0.125;
constexpr double kMaxLatencyRatio = 16;
constexpr double kMinLatencyRatio = 0.1;
constexpr double kColdLatencyRatio = 2;

// Half-life of the failure rate while no outcomes arrive.
constexpr milliseconds kFailureHalfLife{2000};

// A response that takes longer than this many typical times is slow.
constexpr int kSlowMultiple = 3;

// Returns whether the outcome counts as a failure of the server. Running out of
// the request's time (a timeout here or the server's own 504) does not: it is
// measured as slowness.
bool IsServerFailure(const gate_outcome& outcome) {
  if (outcome.end == gate_outcome_kind::kUnknown) {
    return outcome.reason == error_kind::kServerFailed;
  }
  return IsServerError(outcome);
}

}  // namespace

void server_measurements::Restart(base::duration cold_left) {
  counts_.clear();
  failure_rate_ = 0;
  latency_ratio_ = cold_left.count() > 0 ? kColdLatencyRatio : 1;
}

void server_measurements::Record(const call_offer& offer,
                                 const gate_outcome& outcome,
                                 base::duration took,
                                 base::steady_instant now) {
  if (outcome.end == gate_outcome_kind::kCancelled) return;
  const bool is_refusal = outcome.end == gate_outcome_kind::kNotRun;
  const bool failed = is_refusal || IsServerFailure(outcome);
  failure_rate_ += ((failed ? 1 : 0) - failure_rate_) * kFailureWeight;
  failure_rate_updated_at_ = now;
  if (is_refusal) return;
  const double typical_duration =
      static_cast<double>(offer.typical_duration.count());
  const double ratio =
      typical_duration > 0
          ? static_cast<double>(took.count()) / typical_duration
          : 1;
  if (!failed) {
    const double difference =
        std::clamp(ratio, kMinLatencyRatio, kMaxLatencyRatio) - latency_ratio_;
    latency_ratio_ += difference * kLatencyRatioWeight;
    latency_deviation_ +=
        (std::abs(difference) - latency_deviation_) * kDeviationWeight;
  }
  if (IsCold(now) && !failed) return;
  decisions::run_counts& counts = counts_[offer.route];
  ++counts.total;
  if (failed) ++counts.failed;
  if (ratio > kSlowMultiple) ++counts.slow;
}

double server_measurements::LatencyRatio(base::steady_instant now) const {
  return IsCold(now) ? std::max(latency_ratio_, kColdLatencyRatio)
                     : latency_ratio_;
}

double server_measurements::FailureRate(base::steady_instant now) const {
  const double half_lives =
      std::chrono::duration<double>(now - failure_rate_updated_at_) /
      std::chrono::duration<double>(kFailureHalfLife);
  return failure_rate_ * std::exp2(-half_lives);
}

decisions::run_counts server_measurements::CountsOf(
    const std::string& route) const {
  const auto counted = counts_.find(route);
  return counted == counts_.end() ? decisions::run_counts{} : counted->second;
}

}  // namespace fireflyspar::proxy
