// A limit of our own on one process's calls to the platform, by two token
// buckets. The platform's rates are shared by the whole fleet and grow more
// slowly than it; a bug or a storm in one process must not use them up.
#ifndef FIREFLYSPAR_PLATFORM_CALL_BUDGET_H_
#define FIREFLYSPAR_PLATFORM_CALL_BUDGET_H_

#include <mutex>

#include "base/hooks.h"

namespace fireflyspar::platform {

struct call_rate {
  double per_second = 0;
  double burst = 0;
};

struct call_budget_options {
  base::clock_hook clock;
  call_rate reads{.per_second = 10, .burst = 40};  // Watches are reads.
  call_rate writes{.per_second = 2, .burst = 20};
};

class call_budget {
 public:
  explicit call_budget(call_budget_options options);

  // True when the call may be made now; it is then counted.
  bool TakeRead() { return Take(reads_); }
  bool TakeWrite() { return Take(writes_); }

 private:
  struct bucket {
    call_rate rate;
    double tokens = 0;
    base::instant filled_at;
  };

  bool Take(bucket& from);

  std::mutex mutex_;
  base::clock_hook clock_;
  bucket reads_;
  bucket writes_;
};

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_PLATFORM_CALL_BUDGET_H_
