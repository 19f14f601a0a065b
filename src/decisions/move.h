// A move shifts a service's calls from an old version to a new one by a set
// time. The move itself is an object at the platform; what nodes tell each
// other about it is a value that merges, so that late and crossed messages do
// no harm.
//
// A verdict starts in the mesh and ends at the platform. Any node that sees
// proof of a fault makes the move kTakenBack at once, and that spreads from
// node to node without the platform. The outcome becomes final by one
// compare-and-set at the platform, where either kTakenBack or kDone is written,
// once; a final outcome replaces whatever nodes held before. Were "taken back"
// to win over a final "done" as well, a verdict that raced the last
// compare-and-set would leave the operator told one thing and the nodes doing
// the other.
#ifndef FIREFLYSPAR_DECISIONS_MOVE_H_
#define FIREFLYSPAR_DECISIONS_MOVE_H_

#include <string>
#include <vector>

#include "base/hooks.h"

namespace fireflyspar::decisions {

// Ordered: of two outcomes that are not final the greater wins. kDone is
// always final.
enum class move_state { kRunning, kTakenBack, kDone };

struct move {
  std::string id;  // Unique: service, then operation id.
  std::string service;
  std::string old_version;
  std::string new_version;
  base::instant start;
  base::instant by;  // The whole share is to have moved by then.
  std::string operation_id;
  move_state state = move_state::kRunning;
  bool is_final = false;  // The outcome stands at the platform.
  std::string evidence;   // One sentence, once the move is done or taken back.

  // The share of calls, in whole percent, that the new version has earned by
  // evidence; zero until a judge has raised it. It only grows, so merging takes
  // the greater one.
  int cleared_percent = 0;

  // Until then the new version has at most the share at which the versions are
  // best compared, since a judge saw it do unusually badly. Merging takes the
  // later one; what was a false suspicion ends by itself.
  base::instant cautious_until;

  // Data centres whose judges found the new version good at full share for the
  // whole bake; sorted. The move is done when every data centre is in here.
  std::vector<std::string> ready_data_centres;

  bool operator==(const move&) const = default;
};

// Merges what two nodes know of the same move; order does not matter.
move Merge(const move& left, const move& right);

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_MOVE_H_
