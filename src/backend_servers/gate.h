// The gate in front of the backend server beside this node. Only the gate knows
// exactly which requests it admitted. It therefore keeps the slot count, the
// short queue, the drain and the slow start, and a refusal of its own that says
// "not run" is certain.
#ifndef FIREFLYSPAR_BACKEND_SERVERS_GATE_H_
#define FIREFLYSPAR_BACKEND_SERVERS_GATE_H_

#include <functional>
#include <memory>
#include <string>

#include "base/address.h"
#include "base/hooks.h"
#include "base/metrics.h"
#include "base/result.h"
#include "decisions/member.h"

namespace fireflyspar::backend_servers {

// A backend server's periodic report about itself to the node beside it.
struct announcement {
  base::address server_address;  // Where the server accepts requests.
  decisions::server_record server;
};

struct gate_options {
  base::clock_hook clock;
  base::metrics* metrics = nullptr;

  // Called when the local server's record changes, so that it can be sent to
  // the other nodes.
  std::function<void(const decisions::server_record&)> on_change;
};

class gate {
 public:
  explicit gate(gate_options options);
  ~gate();
  gate(const gate&) = delete;
  gate& operator=(const gate&) = delete;

  // Records an announcement of the server, or fails if it is invalid. The
  // server counts as absent when none arrives for a few seconds.
  base::status OnAnnouncement(const announcement& received);

  // Admits no new requests from now on; running requests finish.
  void Drain();

  // Marks the server as absent when its announcements have stopped, and decides
  // on queued requests. Called a few times a second.
  void Tick();

  // Returns the number of requests that were admitted and are not yet answered.
  int InFlight() const;

  class state;  // Shared with the call path's gate listener.
  state& State() { return *state_; }

 private:
  std::unique_ptr<state> state_;
};

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_GATE_H_
