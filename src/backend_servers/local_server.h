// Runs one request at the backend server beside this node: through the gate,
// over a kept connection, until the whole answer is there.
#ifndef FIREFLYSPAR_BACKEND_SERVERS_LOCAL_SERVER_H_
#define FIREFLYSPAR_BACKEND_SERVERS_LOCAL_SERVER_H_

#include <string>

#include "backend_servers/connection_pool.h"
#include "backend_servers/gate.h"
#include "backend_servers/http.h"
#include "base/hooks.h"

namespace fireflyspar::backend_servers {

// What came of a request at a gate.
struct gate_answer {
  http_response answer;  // The backend server's, when `refusal` is unset.
  bool is_refusal = false;
  bool from_gate = false;  // Another node's gate said it, rather than this one
                           // having found out.
  base::error_kind refusal = base::error_kind::kShed;
  // Whether the backend server ran the request, for a refusal.
  base::run_state run = base::run_state::kNotRun;
  std::string detail;
  int busy = 0;  // Requests running and waiting at the gate.

  bool IsNotRun() const {
    return is_refusal && run == base::run_state::kNotRun;
  }
};

gate_answer RefusedByGate(base::error_kind refusal, std::string detail);

struct local_call {
  std::string service;
  std::string version;
  base::instant deadline;
};

// `request` goes to the server as it is, with the deadline that is left then.
net::awaitable<gate_answer> RunAtLocalServer(
    gate& through, const base::clock_hook& clock, connection_pool& pool,
    const local_call& call, http_request& request, cancellation& cancel);

// The gate's answer as a message to another node, and back.
http_response ToMessage(gate_answer answer);
gate_answer FromMessage(http_response message);

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_LOCAL_SERVER_H_
