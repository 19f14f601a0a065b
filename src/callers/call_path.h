// The way of a call through a node: in from a caller, routed as the
// configuration in force says, to the node beside a backend server of the
// chosen version, and the whole answer back. Listeners for callers outside and
// inside the mesh, and the gate in front of the local backend server, share a
// pool of worker threads.
#ifndef FIREFLYSPAR_CALLERS_CALL_PATH_H_
#define FIREFLYSPAR_CALLERS_CALL_PATH_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "backend_servers/gate.h"
#include "base/address.h"
#include "base/hooks.h"
#include "base/metrics.h"
#include "base/result.h"
#include "decisions/call_outcome.h"
#include "decisions/fleet_view.h"

namespace fireflyspar::callers {

struct call_path_options {
  std::string node_id;
  std::string data_centre;
  base::address outside_address;  // Callers from outside the mesh.
  base::address inside_address;   // Callers within the mesh.
  base::address gate_address;     // Other nodes' calls for the local server.
  int workers = 2;                // Threads.

  // A request must be whole this long after its first byte.
  std::chrono::milliseconds read_timeout{10'000};

  base::clock_hook clock;
  base::random_hook random;
  base::metrics* metrics = nullptr;
  backend_servers::gate* gate = nullptr;  // Of the local server.

  // What to route by; called for each call and must be cheap.
  std::function<decisions::fleet_view_ptr()> view;

  // The share of the old version's calls, in [0, 1], that go to the new one
  // now. Empty: zero until done, then one.
  std::function<double(const decisions::move& move)> moved_share;

  // Told of the outcome of each call that was dispatched.
  std::function<void(const decisions::call_outcome&)> on_outcome;
};

// Where the listeners are bound: as in the options, with the port that the
// system chose in place of 0.
struct bound_addresses {
  base::address outside;
  base::address inside;
  base::address gate;
};

class call_path {
 public:
  explicit call_path(call_path_options options);
  ~call_path();
  call_path(const call_path&) = delete;
  call_path& operator=(const call_path&) = delete;

  // Binds the addresses and starts the workers.
  base::status Start();

  // Stops accepting, answers what is still to come with a refusal, waits until
  // what runs has finished or `limit` has passed, then stops. True when
  // everything finished.
  bool Finish(std::chrono::milliseconds limit);

  // After Start.
  bound_addresses Bound() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace fireflyspar::callers

#endif  // FIREFLYSPAR_CALLERS_CALL_PATH_H_
