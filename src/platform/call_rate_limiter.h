// Limits the rate of one process's calls to the platform by two token buckets,
// one for reads and one for writes. The platform's own rate limits are shared
// by the whole fleet and grow more slowly than the fleet, so a bug or a burst
// of calls in one process must not use them up.
#ifndef FIREFLYSPAR_PLATFORM_CALL_RATE_LIMITER_H_
#define FIREFLYSPAR_PLATFORM_CALL_RATE_LIMITER_H_

#include <mutex>

#include "base/hooks.h"
#include "base/token_bucket.h"

namespace fireflyspar::platform {

using call_rate = base::bucket_rate;

struct call_rate_limiter_options {
  base::clock_hook clock;
  call_rate reads{.per_second = 10, .burst = 40};  // Includes watches.
  call_rate writes{.per_second = 2, .burst = 20};
};

class call_rate_limiter {
 public:
  explicit call_rate_limiter(call_rate_limiter_options options);

  // Returns whether the call may be made now, and counts it if so.
  bool TryAcquireRead() { return Take(reads_, read_rate_); }
  bool TryAcquireWrite() { return Take(writes_, write_rate_); }

 private:
  bool Take(base::token_bucket& from, const call_rate& rate);

  std::mutex mutex_;
  base::clock_hook clock_;
  call_rate read_rate_;
  call_rate write_rate_;
  base::token_bucket reads_;
  base::token_bucket writes_;
};

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_PLATFORM_CALL_RATE_LIMITER_H_
