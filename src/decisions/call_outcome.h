// What became of one call, as the node that routed it saw it: the raw material
// of the judgement on versions and of balancing.
#ifndef FIREFLYSPAR_DECISIONS_CALL_OUTCOME_H_
#define FIREFLYSPAR_DECISIONS_CALL_OUTCOME_H_

#include <string>

#include "base/hooks.h"

namespace fireflyspar::decisions {

struct call_outcome {
  std::string service;
  std::string route;
  std::string version;
  // The server's own fault: a 5xx status that is not shedding, or a broken or
  // missing answer. Sheds, limits and cancelled calls are not the version's.
  bool failed = false;
  base::duration latency{};  // From dispatch to the answer's last byte.
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_CALL_OUTCOME_H_
