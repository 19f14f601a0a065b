// How many retries a node may make at a service: a share of the first tries of
// the last seconds, so that retries cannot multiply an overload.
//
// Calls may be 13 deep. With two tries at each level and no budget, one call
// at the top can cost 2^13 = 8,192 at the bottom. With 10% it is 1.1^13 = 3.5
// at most; and since a call that is itself a retry, or made for one, is never
// retried further down (the attempt header), it is 1 + 13 * 0.1 = 2.3.
#ifndef FIREFLYSPAR_DECISIONS_RETRY_BUDGET_H_
#define FIREFLYSPAR_DECISIONS_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/hooks.h"

namespace fireflyspar::decisions {

class retry_budget {
 public:
  void OnFirstTry(base::instant now);

  // Takes one retry from the budget if there is one left. `percent`: retries
  // for each hundred first tries.
  bool TryTake(int percent, base::instant now);

 private:
  struct slice {
    std::int64_t second = -1;
    std::int64_t first_tries = 0;
    std::int64_t retries = 0;
  };

  static constexpr std::size_t kWindowSeconds = 10;

  slice& SliceAt(base::instant now);

  std::array<slice, kWindowSeconds> slices_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_RETRY_BUDGET_H_
