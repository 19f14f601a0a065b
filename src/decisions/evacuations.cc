#include "decisions/evacuations.h"

#include <utility>

namespace fireflyspar::decisions {

bool evacuations::Put(data_centre_set data_centres,
                      base::store_revision revision) {
  const bool is_equal = data_centres == data_centres_;
  if (revision <= confirmed_at_) {
    // Whoever holds this set has to learn that a later one differs.
    const bool hides_later_set = !is_equal && revision > changed_at_;
    if (hides_later_set) changed_at_ = confirmed_at_;
    return false;
  }
  confirmed_at_ = revision;
  if (is_equal) return false;
  data_centres_ = std::move(data_centres);
  changed_at_ = revision;
  return true;
}

}  // namespace fireflyspar::decisions
