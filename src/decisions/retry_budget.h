// Limits the retries that a node makes at a service to a percentage of its
// first attempts in the last seconds, so that retries cannot multiply an
// overload.
//
// Calls may be nested 13 deep. With two attempts at each level and no budget,
// one call at the top can cause 2^13 = 8,192 calls at the bottom. A budget of
// 10% lowers this to at most 1.1^13 = 3.5. A call that is itself a retry, or is
// made for one, is never retried further down (the attempt header marks it);
// this lowers the bound to 1 + 13 * 0.1 = 2.3.
#ifndef FIREFLYSPAR_DECISIONS_RETRY_BUDGET_H_
#define FIREFLYSPAR_DECISIONS_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/hooks.h"

namespace fireflyspar::decisions {

class retry_budget {
 public:
  // Records a first attempt.
  void OnFirstAttempt(base::instant now);

  // Takes one retry from the budget, which allows `percent` retries for each
  // hundred first attempts. Returns false if none is left.
  bool TryTake(int percent, base::instant now);

 private:
  // The counts of one second.
  struct slice {
    std::int64_t second = -1;
    std::int64_t first_attempts = 0;
    std::int64_t retries = 0;
  };

  static constexpr std::size_t kWindowSeconds = 10;

  // Returns the slice of the current second, reset if it held an older one.
  slice& SliceAt(base::instant now);

  std::array<slice, kWindowSeconds> slices_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_RETRY_BUDGET_H_
