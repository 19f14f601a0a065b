// Which data centres operators have evacuated: nothing may be sent to their
// backend servers. The set is a whole with the store's revision at which it was
// true, and of two sets the one with the later revision holds, so that it may
// arrive from the store and from peers, late, repeated and in any order.
#ifndef FIREFLYSPAR_DECISIONS_EVACUATIONS_H_
#define FIREFLYSPAR_DECISIONS_EVACUATIONS_H_

#include <set>
#include <string>
#include <string_view>

#include "base/store_revision.h"

namespace fireflyspar::decisions {

class evacuations {
 public:
  using data_centre_set = std::set<std::string, std::less<>>;

  // Takes in the set that was true at `revision`. Returns whether the known set
  // has changed by it.
  bool Put(data_centre_set data_centres, base::store_revision revision);

  bool IsEvacuated(std::string_view data_centre) const {
    return data_centres_.contains(data_centre);
  }

  const data_centre_set& DataCentres() const { return data_centres_; }

  // Returns the revision by which peers see that they know less. A set that was
  // only confirmed keeps it: it is confirmed in many ways, and each peer would
  // ask for it again.
  base::store_revision Revision() const { return changed_at_; }

 private:
  data_centre_set data_centres_;
  base::store_revision changed_at_;
  base::store_revision confirmed_at_;  // The latest at which the set was true.
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_EVACUATIONS_H_
