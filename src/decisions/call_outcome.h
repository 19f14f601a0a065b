// The result of one call, as observed by the node that routed it. Balancing and
// the evaluation of versions are based on these results.
#ifndef FIREFLYSPAR_DECISIONS_CALL_OUTCOME_H_
#define FIREFLYSPAR_DECISIONS_CALL_OUTCOME_H_

#include <string>

#include "base/hooks.h"

namespace fireflyspar::decisions {

struct call_outcome {
  std::string service;
  std::string route;
  std::string version;
  // True for a failure that the server caused: a 5xx status that is not a shed,
  // or a broken or missing answer. Sheds, exceeded limits and cancelled calls
  // do not count as failures of the version.
  bool failed = false;
  base::duration latency{};  // From dispatch to the last byte of the answer.
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_CALL_OUTCOME_H_
