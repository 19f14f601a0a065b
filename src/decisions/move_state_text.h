// The text form of a move's state. The platform's objects, the command line's
// output, a node's status and the logs all use it.
#ifndef FIREFLYSPAR_DECISIONS_MOVE_STATE_TEXT_H_
#define FIREFLYSPAR_DECISIONS_MOVE_STATE_TEXT_H_

#include <string_view>

#include "decisions/move.h"

namespace fireflyspar::decisions {

// Returns "running", "taken_back" or "done".
inline std::string_view ToText(move_state state) {
  switch (state) {
    case move_state::kRunning:
      return "running";
    case move_state::kRolledBack:
      return "taken_back";
    case move_state::kDone:
      break;
  }
  return "done";
}

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_MOVE_STATE_TEXT_H_
