// Estimates how much of its time a caller has spent before this request. A
// caller that retries after a refusal sends the remaining time, but not the
// timeout that it started with. That timeout is estimated for each route as the
// longest one seen there.
#ifndef FIREFLYSPAR_DECISIONS_ELAPSED_TIME_ESTIMATOR_H_
#define FIREFLYSPAR_DECISIONS_ELAPSED_TIME_ESTIMATOR_H_

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

#include "base/hooks.h"

namespace fireflyspar::decisions {

class elapsed_time_estimator {
 public:
  // Returns the estimated time since the caller's first attempt; `remaining` is
  // the time for which it still waits. Returns zero if this may be the first
  // attempt: callers use different timeouts, so a time that is only somewhat
  // shorter than the longest one does not show a retry.
  base::duration EstimateElapsed(std::string_view route,
                                 base::duration remaining) {
    auto found = max_timeouts_.find(route);
    if (found == max_timeouts_.end()) {
      found = max_timeouts_.emplace(std::string(route), remaining).first;
    }
    base::duration& max_timeout = found->second;
    max_timeout = std::max(max_timeout, remaining);
    const base::duration first = max_timeout * kMinFirstTryPercent / 100;
    return std::max(base::duration(0), first - remaining);
  }

 private:
  // Percentage of the longest timeout. A caller whose remaining time is below
  // it is taken to be retrying.
  static constexpr int kMinFirstTryPercent = 85;

  std::map<std::string, base::duration, std::less<>> max_timeouts_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_ELAPSED_TIME_ESTIMATOR_H_
