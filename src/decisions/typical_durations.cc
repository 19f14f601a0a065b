#include "decisions/typical_durations.h"

#include <algorithm>
#include <chrono>

namespace fireflyspar::decisions {
namespace {

// The duration before any answer: the route's objective divided by
// kInitialDivisor, but at least kMinInitial.
constexpr int kInitialDivisor = 3;
constexpr std::chrono::milliseconds kMinInitial{50};

// Exponential smoothing: one answer has the weight 1 / n.
constexpr int kSmoothing = 16;

}  // namespace

base::duration typical_durations::Of(const config::mesh_route& route) const {
  const auto known = by_route_.find(route.name);
  if (known != by_route_.end()) return known->second;
  return std::max<base::duration>(route.objective / kInitialDivisor,
                                  kMinInitial);
}

void typical_durations::Record(const config::mesh_route& route,
                               base::duration took) {
  const auto [estimate, is_first] =
      by_route_.try_emplace(route.name, Of(route));
  estimate->second += (took - estimate->second) / kSmoothing;
}

}  // namespace fireflyspar::decisions
