// The gate in front of the backend server beside this node. It alone knows
// exactly what it let in, so it keeps the slot count, the short queue, the
// drain, the slow start and the suppression of duplicates; its refusals are
// true when they say "not run".
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

// What a backend server says of itself, again and again, to the node beside it.
struct announcement {
  base::address server_address;  // Where the server takes requests.
  decisions::server_record server;
};

struct gate_options {
  base::clock_hook clock;
  base::metrics* metrics = nullptr;

  // Called when the local server's record changes, to be told to the others.
  std::function<void(const decisions::server_record&)> on_change;
};

class gate {
 public:
  explicit gate(gate_options options);
  ~gate();
  gate(const gate&) = delete;
  gate& operator=(const gate&) = delete;

  // Takes an announcement; the server counts as absent when none comes for
  // some seconds.
  base::status Announce(const announcement& heard);

  // Lets nothing new in from now on; what runs finishes.
  void Drain();

  // Called a few times a second: notices a server that fell silent.
  void Tick();

  // Requests let in and not yet answered.
  int InFlight() const;

  class state;  // Shared with the call path's gate listener.
  state& State() { return *state_; }

 private:
  std::unique_ptr<state> state_;
};

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_GATE_H_
