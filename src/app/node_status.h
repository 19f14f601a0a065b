// The status that a node reports to operators: its own state and its view of
// the fleet.
#ifndef FIREFLYSPAR_APP_NODE_STATUS_H_
#define FIREFLYSPAR_APP_NODE_STATUS_H_

#include <string>

#include "decisions/fleet_view.h"

namespace fireflyspar::app {

struct node_identity {
  std::string node_id;
  std::string data_centre;
  bool is_draining = false;
};

// Returns "running", "taken_back" or "done". An outcome that is not final at
// the platform yet has "_not_final" appended.
std::string MoveStateText(const decisions::move& move);

// Returns one JSON object: {node_id, data_centre, draining, version, hash,
// preset, members: [...], moves: [...]}. Without a configuration, `version` is
// zero and `hash` and `preset` are empty.
std::string NodeStatusText(const node_identity& node,
                           const decisions::fleet_view& view);

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_NODE_STATUS_H_
