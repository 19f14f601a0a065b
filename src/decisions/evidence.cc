#include "decisions/evidence.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <string>

namespace fireflyspar::decisions {
namespace {

constexpr double kSlowQuantile = 0.95;

// Routes beyond these share the last stratum, so that a preset with very many
// routes costs bounded memory and a bounded report.
constexpr std::size_t kMaxRoutes = 32;
constexpr std::string_view kOtherRoutes = "(other routes)";

}  // namespace

void quantile_tracker::Add(double value) {
  // The step shrinks as the estimate settles, but not to nothing: the load of
  // the old version changes over the day.
  constexpr double kFirstStep = 1.0;
  constexpr double kLeastStep = 0.02;
  constexpr double kFirstFactor = 2.0;
  if (count_++ == 0) {
    log_estimate_ = std::log(std::max(value, 1.0)) + std::log(kFirstFactor);
  } else {
    const double step =
        std::max(kLeastStep, kFirstStep / static_cast<double>(count_));
    log_estimate_ += IsAbove(value) ? step * quantile_ : step * (quantile_ - 1);
  }
  estimate_ = std::exp(log_estimate_);
}

bool quantile_tracker::IsAbove(double value) const {
  return count_ > 0 && value > estimate_;
}

std::size_t move_evidence::RouteIndex(std::string_view route) {
  const auto found = std::ranges::find(old_, route, &stratum_counts::route);
  if (found != old_.end()) {
    return static_cast<std::size_t>(found - old_.begin());
  }
  if (old_.size() == kMaxRoutes) return kMaxRoutes - 1;
  const std::string name(old_.size() == kMaxRoutes - 1 ? kOtherRoutes : route);
  old_.push_back({.route = name});
  new_.push_back({.route = name});
  slow_thresholds_.emplace_back(kSlowQuantile);
  return old_.size() - 1;
}

void move_evidence::Record(const move& value, const call_outcome& outcome) {
  const bool is_new = outcome.version == value.new_version;
  if (!is_new && outcome.version != value.old_version) return;
  const std::size_t index = RouteIndex(outcome.route);
  quantile_tracker& threshold = slow_thresholds_[index];
  const auto latency = static_cast<double>(outcome.latency.count());

  stratum_counts& counts = is_new ? new_[index] : old_[index];
  ++counts.calls;
  if (outcome.failed) ++counts.failures;
  if (threshold.IsAbove(latency)) ++counts.slow;
  if (!is_new) threshold.Add(latency);
  ++calls_;
}

}  // namespace fireflyspar::decisions
