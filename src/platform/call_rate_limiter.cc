#include "platform/call_rate_limiter.h"

#include <utility>

namespace fireflyspar::platform {

call_rate_limiter::call_rate_limiter(call_rate_limiter_options options)
    : clock_(std::move(options.clock)),
      read_rate_(options.reads),
      write_rate_(options.writes) {}

bool call_rate_limiter::Take(base::token_bucket& from, const call_rate& rate) {
  const std::lock_guard lock(mutex_);
  return from.Take(rate, clock_());
}

}  // namespace fireflyspar::platform
