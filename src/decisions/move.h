// A move shifts a service's calls from an old version to a new one by a set
// time. The move itself is an object at the platform; its verdict is a value
// that every node holds and merges by maximum, in which "taken back" wins.
#ifndef FIREFLYSPAR_DECISIONS_MOVE_H_
#define FIREFLYSPAR_DECISIONS_MOVE_H_

#include <string>

#include "base/hooks.h"

namespace fireflyspar::decisions {

// Ordered: merging takes the greater. Done is written only by a conditional
// update at the platform; a node that hears "taken back" after it keeps it.
enum class move_state { kRunning, kDone, kTakenBack };

struct move {
  std::string id;  // Unique: service, then operation id.
  std::string service;
  std::string old_version;
  std::string new_version;
  base::instant start;
  base::instant by;  // The whole share is to have moved by then.
  std::string operation_id;
  move_state state = move_state::kRunning;
  std::string evidence;  // One sentence, once the move is done or taken back.

  bool operator==(const move&) const = default;
};

// Merges what two nodes know of the same move; order does not matter.
move Merge(const move& left, const move& right);

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_MOVE_H_
