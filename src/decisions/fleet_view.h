// Everything that a node routes by, as one immutable value: the configuration
// in force, the instances it knows and the moves under way. A new view is built
// separately and replaces the old one by a swap of one pointer, so that a call
// sees one consistent state.
#ifndef FIREFLYSPAR_DECISIONS_FLEET_VIEW_H_
#define FIREFLYSPAR_DECISIONS_FLEET_VIEW_H_

#include <memory>
#include <vector>

#include "config/snapshot.h"
#include "decisions/member.h"
#include "decisions/move.h"

namespace fireflyspar::decisions {

struct fleet_view {
  config::snapshot_ptr configuration;  // Null until one is known.
  std::vector<member_record> members;  // Sorted by node id.
  std::vector<move> moves;             // Sorted by start, then id.
};

using fleet_view_ptr = std::shared_ptr<const fleet_view>;

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_FLEET_VIEW_H_
