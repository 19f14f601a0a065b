// A token bucket: so many a second on average, and so many at once after a
// quiet time. Pure; the caller brings the time and, where it may change, the
// rate.
#ifndef FIREFLYSPAR_BASE_TOKEN_BUCKET_H_
#define FIREFLYSPAR_BASE_TOKEN_BUCKET_H_

#include <algorithm>
#include <chrono>
#include <optional>

#include "base/hooks.h"

namespace fireflyspar::base {

struct bucket_rate {
  double per_second = 0;
  double burst = 0;  // What a full bucket holds.
};

// Full when it is first used.
class token_bucket {
 public:
  // Takes one token if there is one. A clock that goes back earns nothing.
  bool Take(const bucket_rate& rate, instant now) {
    if (!filled_at_) {
      tokens_ = rate.burst;
      filled_at_ = now;
    }
    const instant filled_until = std::max(now, *filled_at_);
    const double seconds =
        std::chrono::duration<double>(filled_until - *filled_at_).count();
    tokens_ = std::min(rate.burst, tokens_ + seconds * rate.per_second);
    filled_at_ = filled_until;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = 0;
  std::optional<instant> filled_at_;  // Nothing before the first use.
};

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_TOKEN_BUCKET_H_
