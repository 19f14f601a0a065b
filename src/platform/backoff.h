// Computes the delays between the retries of one background job's platform
// calls: exponential backoff with jitter (base/retry_delay.h), which starts
// over after each success.
#ifndef FIREFLYSPAR_PLATFORM_BACKOFF_H_
#define FIREFLYSPAR_PLATFORM_BACKOFF_H_

#include <chrono>
#include <utility>

#include "base/hooks.h"
#include "base/retry_delay.h"

namespace fireflyspar::platform {

struct backoff_options {
  std::chrono::milliseconds first{200};  // Greatest delay after one failure.
  std::chrono::milliseconds most{2000};  // Greatest delay after any failure.
};

class backoff {
 public:
  backoff(backoff_options options, base::random_hook random)
      : options_(options), random_(std::move(random)) {}

  // Counts a failure and returns the delay before the next try.
  base::duration Next() {
    return base::RetryDelay(failures_++, options_.first, options_.most,
                            random_());
  }

  // Starts over after a success.
  void Reset() { failures_ = 0; }

 private:
  backoff_options options_;
  base::random_hook random_;
  int failures_ = 0;  // Consecutive failures.
};

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_PLATFORM_BACKOFF_H_
