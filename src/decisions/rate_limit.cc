#include "decisions/rate_limit.h"

namespace fireflyspar::decisions {
bool rate_limit::TryTake(int calls_per_second, base::instant now) {
  if (calls_per_second <= 0) return true;
  const auto rate = static_cast<double>(calls_per_second);
  return bucket_.Take({.per_second = rate, .burst = rate}, now);
}

bool caller_limit::Enter(std::string_view caller, int max_in_flight) {
  const auto found = in_flight_.find(caller);
  if (found == in_flight_.end()) {
    in_flight_.emplace(std::string(caller), 1);
    return true;
  }
  if (max_in_flight > 0 && found->second >= max_in_flight) return false;
  ++found->second;
  return true;
}

void caller_limit::Leave(std::string_view caller) {
  const auto found = in_flight_.find(caller);
  if (found == in_flight_.end()) return;
  if (--found->second <= 0) in_flight_.erase(found);
}

}  // namespace fireflyspar::decisions
