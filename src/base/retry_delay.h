// The delay before a retry: exponential backoff with full jitter. When many
// processes lose the same peer at the same time, the jitter spreads their
// retries over the whole interval and avoids a thundering herd.
#ifndef FIREFLYSPAR_BASE_RETRY_DELAY_H_
#define FIREFLYSPAR_BASE_RETRY_DELAY_H_

#include <algorithm>
#include <cstdint>

#include "base/hooks.h"

namespace fireflyspar::base {

// Returns a delay that is uniform between zero and a limit. The limit is the
// initial delay at first and doubles with each consecutive failure, up to the
// maximum delay. With 200 ms and 2,000 ms, it is 200, 400, 800, 1,600, 2,000,
// 2,000, ... ms. `failures` is the number of consecutive failures before the
// latest one; `draw` is a uniform 64-bit value.
inline duration RetryDelay(int failures, duration initial_delay,
                           duration max_delay, std::uint64_t draw) {
  constexpr int kMaxDoublings = 20;
  const duration limit = std::min(
      max_delay, initial_delay * (1 << std::min(failures, kMaxDoublings)));
  return duration(static_cast<std::int64_t>(
      ToUnitInterval(draw) * static_cast<double>(limit.count())));
}

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_RETRY_DELAY_H_
