// The path of a call through a node. A listener reads the caller's request. The
// node routes it as the configuration in force says and chooses a backend
// server of the chosen version. It sends the request to the node on that
// server's instance, or runs it itself if the server is on its own instance.
// The whole answer is returned to the caller. The listeners for callers outside
// and inside the mesh and for other nodes' requests to the gate share a pool of
// worker threads.
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
  base::address outside_address;  // For callers outside the mesh.
  base::address inside_address;   // For callers inside the mesh.
  base::address gate_address;     // For other nodes' calls to the local server.
  int workers = 2;                // Number of threads.

  // Time limit for reading a whole request, from its first byte.
  std::chrono::milliseconds read_timeout{10'000};

  base::clock_hook clock;
  base::random_hook random;
  base::metrics* metrics = nullptr;
  backend_servers::gate* gate = nullptr;  // In front of the local server.

  // Returns the view of the fleet to route by. Called for every call, so it
  // must be cheap.
  std::function<decisions::fleet_view_ptr()> view;

  // Returns the share of the old version's calls that now go to the new
  // version, from 0 (none) to 1 (all). If no function is set, the share is 1
  // for a move that is done and 0 for any other.
  std::function<double(const decisions::move& move)> moved_share;

  // Called with the outcome of each dispatched attempt that may have run at a
  // backend server, unless the caller cancelled it.
  std::function<void(const decisions::call_outcome&)> on_outcome;
};

// The addresses of the listeners: those of the options, with a port of 0
// replaced by the one that the system chose.
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

  // Stops accepting connections, refuses requests that still arrive, waits
  // until the running requests have finished or `limit` has passed, then stops
  // the workers. Returns true when all requests finished.
  bool Finish(std::chrono::milliseconds limit);

  // Returns the bound addresses. Valid after Start.
  bound_addresses Bound() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace fireflyspar::callers

#endif  // FIREFLYSPAR_CALLERS_CALL_PATH_H_
