// The wait before trying again: full-jitter exponential backoff. When a herd of
// processes loses its peer at one moment, its retries spread over the whole
// limit instead of coming back together.
#ifndef FIREFLYSPAR_BASE_RETRY_DELAY_H_
#define FIREFLYSPAR_BASE_RETRY_DELAY_H_

#include <algorithm>
#include <cstdint>

#include "base/hooks.h"

namespace fireflyspar::base {

// Uniform between zero and a limit that doubles with each failure in a row.
// With first 200 ms and most 2,000 ms the limits run 200, 400, 800, 1,600,
// 2,000, 2,000, ... `failures` counts those before this one; `draw` is random.
inline duration RetryDelay(int failures, duration first, duration most,
                           std::uint64_t draw) {
  constexpr int kMostDoublings = 20;
  const duration limit =
      std::min(most, first * (1 << std::min(failures, kMostDoublings)));
  return duration(static_cast<std::int64_t>(
      Unit(draw) * static_cast<double>(limit.count())));
}

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_RETRY_DELAY_H_
