// Jobs that fall to a few nodes of each data centre.
#ifndef FIREFLYSPAR_NODES_JOB_KEY_H_
#define FIREFLYSPAR_NODES_JOB_KEY_H_

#include <string>

namespace fireflyspar::nodes {

// What is hashed with the node ids, so that each data centre has nodes of its
// own for a job.
inline std::string JobKey(const std::string& job,
                          const std::string& data_centre) {
  return job + '@' + data_centre;
}

}  // namespace fireflyspar::nodes

#endif  // FIREFLYSPAR_NODES_JOB_KEY_H_
