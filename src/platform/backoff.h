// Full-jitter exponential backoff: the wait before a retry is uniform between
// zero and a limit that doubles with each failure in a row. When a herd of
// processes loses the platform at one moment its retries spread over the whole
// limit instead of coming back together.
#ifndef FIREFLYSPAR_PLATFORM_BACKOFF_H_
#define FIREFLYSPAR_PLATFORM_BACKOFF_H_

#include <algorithm>
#include <chrono>

#include "base/hooks.h"

namespace fireflyspar::platform {

struct backoff_options {
  std::chrono::milliseconds first{200};  // The limit after one failure.
  std::chrono::milliseconds most{2000};  // The greatest limit.
};

class backoff {
 public:
  backoff(backoff_options options, base::random_hook random)
      : options_(options), random_(std::move(random)), limit_(options.first) {}

  // The wait before the next try. With first 200 ms and most 2,000 ms the
  // limits run 200, 400, 800, 1,600, 2,000, 2,000, ...
  base::duration Next() {
    const auto limit = std::chrono::duration_cast<base::duration>(limit_);
    limit_ = std::min(limit_ * 2, options_.most);
    const double wait =
        base::Unit(random_()) * static_cast<double>(limit.count());
    return base::duration(static_cast<std::int64_t>(wait));
  }

  // Called after a success.
  void Reset() { limit_ = options_.first; }

 private:
  backoff_options options_;
  base::random_hook random_;
  std::chrono::milliseconds limit_;
};

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_PLATFORM_BACKOFF_H_
