// A move shifts a service's calls from an old version to a new one by a
// deadline. The move is stored as an object at the platform. Nodes exchange
// their copies of it and merge them; the merge is commutative and idempotent,
// so late, repeated and reordered messages do no harm.
//
// A rollback starts in the mesh and is completed at the platform. Any node that
// has proof of a fault sets the move to kRolledBack at once, and this state
// spreads from node to node without the platform. The outcome becomes final by
// one compare-and-set at the platform, which writes either kRolledBack or
// kDone, once. A final outcome replaces any state that a node holds. If
// kRolledBack also won over a final kDone, a rollback that raced with the
// compare-and-set could leave the operator with "done" while the nodes have
// rolled back.
#ifndef FIREFLYSPAR_DECISIONS_MOVE_H_
#define FIREFLYSPAR_DECISIONS_MOVE_H_

#include <string>
#include <vector>

#include "base/hooks.h"

namespace fireflyspar::decisions {

// The order matters: of two states that are not final, the greater one wins in
// a merge. kDone is always final.
enum class move_state { kRunning, kRolledBack, kDone };

struct move {
  std::string id;  // Unique; service, then operation id.
  std::string service;
  std::string old_version;
  std::string new_version;
  base::instant start;
  base::instant complete_by;  // When all calls are to go to the new version.
  std::string operation_id;
  move_state state = move_state::kRunning;
  bool is_final = false;  // The outcome is stored at the platform.
  std::string evidence;   // One sentence; empty while the move runs.

  // The share of calls, in whole percent, that the evidence so far justifies
  // for the new version; zero until an evaluator raises it. It only grows, so a
  // merge takes the greater value.
  int proven_percent = 0;

  // Until this time the new version's share is capped at kSuspicionShareCap, at
  // which the versions are best compared, because an evaluator found unusually
  // bad results. A merge takes the later time. The cap expires on its own if
  // the suspicion was false.
  base::instant share_capped_until;

  // Data centres whose evaluators found no fault in the new version at full
  // share for the whole bake; sorted. The move is done when all data centres
  // are listed.
  std::vector<std::string> ready_data_centres;

  bool operator==(const move&) const = default;
};

// Merges two nodes' copies of the same move. The merge is commutative.
move Merge(const move& left, const move& right);

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_MOVE_H_
