#include "decisions/server_notices.h"

#include <algorithm>

namespace fireflyspar::decisions {

void notice_tracker::OnAnswer(const server_notices& said,
                              const answered_request& request,
                              base::steady_instant now) {
  has_answer_ = true;
  // A server that leaves does not come back in the same start.
  current_.is_leaving = current_.is_leaving || said.is_leaving;
  if (said.requests_per_second) {
    current_.requests_per_second = said.requests_per_second;
    limit_named_at_ = now;
  } else if (request.was_run && request.sent >= limit_named_at_) {
    current_.requests_per_second.reset();
  }
}

void notice_tracker::OnPeer(const server_notices& told,
                            base::steady_instant now) {
  current_.is_leaving = current_.is_leaving || told.is_leaving;
  if (has_answer_ || !told.requests_per_second) return;
  // Peers may have been told at different times; the lowest limit is safe.
  const double known =
      current_.requests_per_second.value_or(*told.requests_per_second);
  current_.requests_per_second = std::min(known, *told.requests_per_second);
  limit_named_at_ = now;
}

}  // namespace fireflyspar::decisions
