// How much of its time a caller has spent before this request. Callers that
// come back after a refusal send what is left of the time they had at first;
// nobody says how much that was, so it is learnt for each route as the most
// that callers wait.
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
  // `left`: what the caller still waits. Zero when it may be its first try:
  // callers differ, so that a part of the most proves nothing.
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
  // Of the most that callers wait; those that wait less came back.
  static constexpr int kLeastFirstPercent = 85;

  std::map<std::string, base::duration, std::less<>> most_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_CALLER_PATIENCE_H_
