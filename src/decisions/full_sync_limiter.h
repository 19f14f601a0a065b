// Limits the rate of full syncs (all records, or a whole configuration) that a
// node serves, with a token bucket, so that many nodes that return at once do
// not overload it. A node that is refused is given other peers to ask, and
// retries after a random delay.
#ifndef FIREFLYSPAR_DECISIONS_FULL_SYNC_LIMITER_H_
#define FIREFLYSPAR_DECISIONS_FULL_SYNC_LIMITER_H_

#include "base/hooks.h"
#include "base/token_bucket.h"

namespace fireflyspar::decisions {

using full_sync_limiter_options = base::bucket_rate;

class full_sync_limiter {
 public:
  explicit full_sync_limiter(
      full_sync_limiter_options options = {.per_second = 8, .burst = 16})
      : options_(options) {}

  // Returns whether one more full sync may be served now.
  bool Admit(base::instant now) { return bucket_.Take(options_, now); }

 private:
  full_sync_limiter_options options_;
  base::token_bucket bucket_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_FULL_SYNC_LIMITER_H_
