#include "decisions/cold_start.h"

#include <algorithm>

namespace fireflyspar::decisions {

std::optional<double> cold_start::Limit(std::optional<double> cold_limit,
                                        std::optional<double> other_limit,
                                        base::steady_instant now) const {
  if (!cold_limit || !IsCold(now)) return other_limit;
  return std::min(*cold_limit, other_limit.value_or(*cold_limit));
}

}  // namespace fireflyspar::decisions
