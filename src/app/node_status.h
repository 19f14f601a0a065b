// What a node tells operators of itself and of the fleet as it sees it.
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

// "running", "taken_back" or "done", with "_not_final" behind an outcome that
// does not stand at the platform yet.
std::string MoveStateText(const decisions::move& move);

// One JSON object: {node_id, data_centre, draining, version, hash, preset,
// members: [...], moves: [...]}. `version` is zero without a configuration.
std::string NodeStatusText(const node_identity& node,
                           const decisions::fleet_view& view);

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_NODE_STATUS_H_
