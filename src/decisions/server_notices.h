// What a backend server says of itself in its answers: the rate of requests
// that it takes from all instances together, and that it is leaving. The gate
// is the only way to its server, so it alone can keep to both.
//
// Answers may be read in another order than the server wrote them in. An answer
// without a limit therefore lifts one only if its request was sent after the
// limit had last been named here, and if the server ran it: a refusal may come
// from a part of the server that names nothing.
#ifndef FIREFLYSPAR_DECISIONS_SERVER_NOTICES_H_
#define FIREFLYSPAR_DECISIONS_SERVER_NOTICES_H_

#include <optional>

#include "base/hooks.h"

namespace fireflyspar::decisions {

struct server_notices {
  // Requests a second, from all instances together; nullopt: no limit.
  std::optional<double> requests_per_second;
  bool is_leaving = false;

  bool operator==(const server_notices&) const = default;
};

// The request that an answer belongs to.
struct answered_request {
  base::steady_instant sent;  // When it was sent to the server.
  bool was_run = true;        // Whether the server ran it.
};

// Holds the notices that are in force for one start of a server.
class notice_tracker {
 public:
  // Must be called when another server, or another start of it, is behind the
  // gate: nothing that was said before applies to it.
  void Restart() { *this = notice_tracker(); }

  // Records what an answer said.
  void OnAnswer(const server_notices& said, const answered_request& request,
                base::steady_instant now);

  // Records what another process knows of the same start of the server, as
  // after a restart of this one. It holds until an answer tells more.
  void OnPeer(const server_notices& told, base::steady_instant now);

  const server_notices& Current() const { return current_; }

 private:
  server_notices current_;
  bool has_answer_ = false;
  base::steady_instant limit_named_at_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_SERVER_NOTICES_H_
