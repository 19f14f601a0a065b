#include "platform/call_budget.h"

#include <algorithm>
#include <utility>

namespace fireflyspar::platform {

call_budget::call_budget(call_budget_options options)
    : clock_(std::move(options.clock)) {
  const base::instant now = clock_();
  reads_ = {
      .rate = options.reads, .tokens = options.reads.burst, .filled_at = now};
  writes_ = {
      .rate = options.writes, .tokens = options.writes.burst, .filled_at = now};
}

bool call_budget::Take(bucket& from) {
  const std::lock_guard lock(mutex_);
  const base::instant now = std::max(clock_(), from.filled_at);
  const double seconds =
      std::chrono::duration<double>(now - from.filled_at).count();
  from.tokens =
      std::min(from.rate.burst, from.tokens + seconds * from.rate.per_second);
  from.filled_at = now;
  if (from.tokens < 1) return false;
  from.tokens -= 1;
  return true;
}

}  // namespace fireflyspar::platform
