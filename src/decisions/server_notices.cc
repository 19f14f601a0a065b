#include "decisions/server_notices.h"

namespace fireflyspar::decisions {

void notice_tracker::OnAnswer(const server_notices& said,
                              base::steady_instant sent,
                              base::steady_instant now) {
  // A server that leaves does not come back in the same start.
  current_.is_leaving = current_.is_leaving || said.is_leaving;
  if (said.requests_per_second) {
    current_.requests_per_second = said.requests_per_second;
    limit_named_at_ = now;
  } else if (sent >= limit_named_at_) {
    current_.requests_per_second.reset();
  }
}

}  // namespace fireflyspar::decisions
