// The result for a request that left a queue without a decision.
#ifndef FIREFLYSPAR_PROXY_ABANDONED_REQUEST_H_
#define FIREFLYSPAR_PROXY_ABANDONED_REQUEST_H_

#include "backend_servers/http.h"
#include "base/error.h"
#include "decisions/ranked_admission.h"

namespace fireflyspar::proxy {

// Its caller has gone away, or else its deadline has passed.
inline decisions::admission_result Abandoned(
    const backend_servers::cancellation& cancel) {
  return {.choice = decisions::admission_choice::kRefuse,
          .reason = cancel.IsCancelled() ? base::error_kind::kCancelled
                                         : base::error_kind::kDeadlinePassed};
}

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_ABANDONED_REQUEST_H_
