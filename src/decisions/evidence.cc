#include "decisions/evidence.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <string>

namespace fireflyspar::decisions {
namespace {

// Further routes share the last entry, which bounds memory and the size of
// reports for a preset with very many routes.
constexpr std::size_t kMaxRoutes = 32;
constexpr std::string_view kOtherRoutes = "(other routes)";

}  // namespace

void quantile_tracker::Add(double value) {
  // The step shrinks as the estimate converges, but has a lower bound, because
  // the load of the old version changes over the day.
  constexpr double kInitialStep = 1.0;
  constexpr double kMinStep = 0.02;
  constexpr double kInitialFactor = 2.0;
  if (count_++ == 0) {
    log_estimate_ = std::log(std::max(value, 1.0)) + std::log(kInitialFactor);
  } else {
    const double step =
        std::max(kMinStep, kInitialStep / static_cast<double>(count_));
    log_estimate_ += IsAbove(value) ? step * quantile_ : step * (quantile_ - 1);
  }
  estimate_ = std::exp(log_estimate_);
}

bool quantile_tracker::IsAbove(double value) const {
  return count_ > 0 && value > estimate_;
}

move_evidence::route_counts& move_evidence::RouteOf(std::string_view route) {
  const auto found = std::ranges::find(routes_, route, &route_counts::route);
  if (found != routes_.end()) return *found;
  if (routes_.size() == kMaxRoutes) return routes_.back();
  const bool is_last = routes_.size() == kMaxRoutes - 1;
  routes_.push_back({.route = std::string(is_last ? kOtherRoutes : route)});
  return routes_.back();
}

void move_evidence::Record(const move& value, const call_outcome& outcome,
                           bool was_share_capped) {
  const bool is_new = outcome.version == value.new_version;
  if (!is_new && outcome.version != value.old_version) return;
  route_counts& of = RouteOf(outcome.route);
  const auto latency = static_cast<double>(outcome.latency.count());

  stratum_counts& counts =
      of.counts[is_new ? kNew : kOld][was_share_capped ? 1 : 0];
  ++counts.calls;
  if (outcome.failed) ++counts.failures;
  if (of.slow_threshold.IsAbove(latency)) ++counts.slow;
  if (!is_new) of.slow_threshold.Add(latency);
  ++calls_;
}

std::vector<stratum_counts> move_evidence::Counts(side of) const {
  std::vector<stratum_counts> counts;
  for (const route_counts& route : routes_) {
    for (const bool was_share_capped : {false, true}) {
      const stratum_counts& one = route.counts[of][was_share_capped ? 1 : 0];
      if (one.calls == 0) continue;
      counts.push_back(one);
      counts.back().route = route.route;
      counts.back().was_share_capped = was_share_capped;
    }
  }
  return counts;
}

}  // namespace fireflyspar::decisions
