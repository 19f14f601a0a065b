// From a caller's request to a call that can be dispatched: the route, the
// limits, the deadline and the identity of the request; and from what came of
// it to the answer that the caller gets.
#ifndef FIREFLYSPAR_CALLERS_ROUTER_H_
#define FIREFLYSPAR_CALLERS_ROUTER_H_

#include <atomic>

#include "callers/call_counters.h"
#include "callers/call_path.h"
#include "callers/claim_keeper.h"
#include "callers/dispatch.h"
#include "callers/http_listener.h"
#include "callers/traffic.h"

namespace fireflyspar::callers {

class router {
 public:
  explicit router(const call_path_options& options)
      : options_(options),
        traffic_(options.clock, options.random),
        dispatcher_(options, traffic_),
        keeper_(options, dispatcher_),
        outside_(options.metrics, "outside"),
        inside_(options.metrics, "inside") {}

  // A request of a caller on the listener that sees `listener`.
  net::awaitable<backend_servers::http_response> Route(
      incoming& call, config::visibility listener);

  // A request of another node: for the server beside this one, or for this one
  // as a keeper of claims.
  net::awaitable<backend_servers::http_response> RunAtGate(incoming& call);

  // Takes in what the view says; called a few times a second.
  void Tick() { keeper_.Observe(); }

  // Refuses every new request from now on.
  void Finish() { finishing_ = true; }

 private:
  net::awaitable<backend_servers::http_response> Answer(
      incoming& call, config::visibility listener);
  net::awaitable<backend_servers::gate_answer> RunRouted(
      routed_call& call, const std::string& caller,
      const std::optional<decisions::request_id>& id);
  net::awaitable<backend_servers::gate_answer> RunAsHome(
      incoming& call, base::instant deadline);
  net::awaitable<backend_servers::gate_answer> RunForNode(
      incoming& call, base::instant deadline);
  backend_servers::gate_answer HoldAsGuard(
      const backend_servers::http_request& request);

  const call_path_options& options_;
  traffic traffic_;
  dispatcher dispatcher_;
  claim_keeper keeper_;
  call_counters outside_;
  call_counters inside_;
  std::atomic<bool> finishing_{false};
};

}  // namespace fireflyspar::callers

#endif  // FIREFLYSPAR_CALLERS_ROUTER_H_
