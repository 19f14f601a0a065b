// Serves the requests of other instances' processes at the gate's address: the
// offers of their routers, and what processes ask of each other.
#ifndef FIREFLYSPAR_PROXY_GATE_ENDPOINT_H_
#define FIREFLYSPAR_PROXY_GATE_ENDPOINT_H_

#include <functional>

#include "proxy/gate.h"
#include "proxy/listener.h"
#include "proxy/shared_objects.h"

namespace fireflyspar::proxy {

struct gate_endpoint_options {
  gate* local_gate = nullptr;
  // Answers what another process says of requests under which servers ended.
  std::function<backend_servers::http_response(
      const backend_servers::http_request&)>
      suspects;
  // Answers a process that asks for tokens of an organisation's limit.
  std::function<backend_servers::http_response(
      const backend_servers::http_request&)>
      quota;
  // Answers a process that asks for the objects of a kind.
  std::function<backend_servers::http_response(shared_kind)> shared_objects;
};

class gate_endpoint {
 public:
  explicit gate_endpoint(gate_endpoint_options options)
      : options_(std::move(options)) {}

  net::awaitable<backend_servers::http_response> Serve(served_call& call);

 private:
  // Takes in that requests have less time than was said.
  backend_servers::http_response TakeDeadlines(
      const backend_servers::http_request& request);
  net::awaitable<backend_servers::http_response> RunOffer(
      const call_offer& offer, served_call& call);

  gate_endpoint_options options_;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_GATE_ENDPOINT_H_
