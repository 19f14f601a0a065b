// The rendezvous hash key of a job that a few nodes of each data centre hold.
#ifndef FIREFLYSPAR_NODES_JOB_KEY_H_
#define FIREFLYSPAR_NODES_JOB_KEY_H_

#include <string>

namespace fireflyspar::nodes {

// Returns the key that is hashed with the node ids to choose the holders of a
// job. It contains the data centre, so that each data centre chooses its own
// holders.
inline std::string JobKey(const std::string& job,
                          const std::string& data_centre) {
  return job + '@' + data_centre;
}

}  // namespace fireflyspar::nodes

#endif  // FIREFLYSPAR_NODES_JOB_KEY_H_
