// Runs one request at the backend server beside this node: passes it through
// the gate, sends it on a pooled connection and reads the whole answer.
#ifndef FIREFLYSPAR_BACKEND_SERVERS_LOCAL_SERVER_H_
#define FIREFLYSPAR_BACKEND_SERVERS_LOCAL_SERVER_H_

#include <string>

#include "backend_servers/connection_pool.h"
#include "backend_servers/gate.h"
#include "backend_servers/http.h"
#include "base/hooks.h"

namespace fireflyspar::backend_servers {

// The result of a request at a gate: the backend server's answer or a refusal.
struct dispatch_result {
  http_response answer;  // The backend server's, unless `is_refusal`.
  bool is_refusal = false;
  bool from_gate = false;  // Sent by another node's gate, not determined here.
  base::error_kind refusal = base::error_kind::kShed;
  // For a refusal: whether the backend server may have run the request.
  base::run_state run = base::run_state::kNotRun;
  std::string detail;
  int gate_load = 0;  // Number of requests running and waiting at the gate.

  bool IsNotRun() const {
    return is_refusal && run == base::run_state::kNotRun;
  }
};

dispatch_result MakeRefusedResult(base::error_kind refusal, std::string detail);

struct local_call {
  std::string service;
  std::string version;
  base::instant deadline;
};

// Runs `request` at the server once the gate admits it. Changes nothing in it
// but the deadline header, which gets the time that is left then.
net::awaitable<dispatch_result> RunAtLocalServer(
    gate& local_gate, const base::clock_hook& clock, connection_pool& pool,
    const local_call& call, http_request& request, cancellation& cancel);

// Convert a gate's result to a message for another node, and back.
http_response ToMessage(dispatch_result answer);
dispatch_result FromMessage(http_response message);

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_LOCAL_SERVER_H_
