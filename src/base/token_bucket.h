// A token bucket, which limits the average rate per second and the size of a
// burst after an idle period. It reads no clock: the caller passes the time and
// the rate, which may change between calls.
#ifndef FIREFLYSPAR_BASE_TOKEN_BUCKET_H_
#define FIREFLYSPAR_BASE_TOKEN_BUCKET_H_

#include <algorithm>
#include <chrono>
#include <optional>

#include "base/hooks.h"

namespace fireflyspar::base {

struct bucket_rate {
  double per_second = 0;
  double burst = 0;  // Capacity of the bucket, in tokens.
};

// A token bucket that is full at its first use.
class token_bucket {
 public:
  // Takes one token and returns true, or returns false if there is none. Adds
  // no tokens while `now` is earlier than in a previous call.
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
  std::optional<instant> filled_at_;  // Time of last refill; empty before use.
};

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_TOKEN_BUCKET_H_
