#include "decisions/rate_limit.h"

#include <algorithm>

namespace fireflyspar::decisions {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

bool rate_limit::TryTake(int calls_per_second, base::instant now) {
  if (calls_per_second <= 0) return true;
  const auto elapsed = static_cast<double>((now - filled_).count());
  const double earned = elapsed / kMicrosecondsPerSecond * calls_per_second;
  tokens_ = std::min<double>(calls_per_second, tokens_ + std::max(0.0, earned));
  filled_ = std::max(filled_, now);
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

bool caller_limit::Enter(std::string_view caller, int most) {
  const auto found = in_flight_.find(caller);
  if (found == in_flight_.end()) {
    in_flight_.emplace(std::string(caller), 1);
    return true;
  }
  if (most > 0 && found->second >= most) return false;
  ++found->second;
  return true;
}

void caller_limit::Leave(std::string_view caller) {
  const auto found = in_flight_.find(caller);
  if (found == in_flight_.end()) return;
  if (--found->second <= 0) in_flight_.erase(found);
}

}  // namespace fireflyspar::decisions
