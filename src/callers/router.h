// Turns a caller's request into a call that can be dispatched: finds its route,
// applies the limits and determines its deadline and request id. Turns the
// result of the dispatch into the answer to the caller. Also handles the
// requests of other nodes.
#ifndef FIREFLYSPAR_CALLERS_ROUTER_H_
#define FIREFLYSPAR_CALLERS_ROUTER_H_

#include <atomic>

#include "callers/call_counters.h"
#include "callers/call_path.h"
#include "callers/claim_coordinator.h"
#include "callers/dispatch.h"
#include "callers/http_listener.h"
#include "callers/traffic_controller.h"

namespace fireflyspar::callers {

class router {
 public:
  explicit router(const call_path_options& options)
      : options_(options),
        traffic_(options.clock, options.random),
        dispatcher_(options, traffic_),
        claim_coordinator_(options, dispatcher_),
        outside_(options.metrics, "outside"),
        inside_(options.metrics, "inside") {}

  // Handles a caller's request. `listener` says whether the outside or the
  // inside listener received it.
  net::awaitable<backend_servers::http_response> Route(
      incoming_request& call, config::visibility listener);

  // Handles a request of another node: one for the server beside this node, or
  // one to this node as a claim holder.
  net::awaitable<backend_servers::http_response> HandleGateRequest(
      incoming_request& call);

  // Updates the claim holders from the current view. Called a few times a
  // second.
  void Tick() { claim_coordinator_.Observe(); }

  // Refuses every new request from now on, except those to this node as a
  // guard.
  void Finish() { finishing_ = true; }

 private:
  net::awaitable<backend_servers::http_response> HandleRequest(
      incoming_request& call, config::visibility listener);
  net::awaitable<backend_servers::dispatch_result> RunRouted(
      routed_call& call, const std::string& caller,
      const std::optional<decisions::request_id>& id);
  net::awaitable<backend_servers::dispatch_result> RunAsHome(
      incoming_request& call, base::instant deadline);
  net::awaitable<backend_servers::dispatch_result> RunForNode(
      incoming_request& call, base::instant deadline);
  backend_servers::dispatch_result HoldAsGuard(
      const backend_servers::http_request& request);

  const call_path_options& options_;
  traffic_controller traffic_;
  dispatcher dispatcher_;
  claim_coordinator claim_coordinator_;
  call_counters outside_;
  call_counters inside_;
  std::atomic<bool> finishing_{false};
};

}  // namespace fireflyspar::callers

#endif  // FIREFLYSPAR_CALLERS_ROUTER_H_
