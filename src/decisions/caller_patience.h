// Estimates how much of its time a caller has spent before this request. A
// caller that retries after a refusal sends the remaining time, but not the
// timeout that it started with. That timeout is estimated for each route as the
// longest one seen there.
#ifndef FIREFLYSPAR_DECISIONS_CALLER_PATIENCE_H_
#define FIREFLYSPAR_DECISIONS_CALLER_PATIENCE_H_

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

#include "base/hooks.h"

namespace fireflyspar::decisions {

class caller_patience {
 public:
  // Returns the estimated time since the caller's first attempt; `left` is the
  // time for which it still waits. Returns zero if this may be the first
  // attempt: callers use different timeouts, so a time that is only somewhat
  // shorter than the longest one does not show a retry.
  base::duration Spent(std::string_view route, base::duration left) {
    auto found = most_.find(route);
    if (found == most_.end()) {
      found = most_.emplace(std::string(route), left).first;
    }
    base::duration& most = found->second;
    most = std::max(most, left);
    const base::duration first = most * kLeastFirstPercent / 100;
    return std::max(base::duration(0), first - left);
  }

 private:
  // Percentage of the longest timeout. A caller whose remaining time is below
  // it is taken to be retrying.
  static constexpr int kLeastFirstPercent = 85;

  std::map<std::string, base::duration, std::less<>> most_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_CALLER_PATIENCE_H_
