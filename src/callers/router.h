// From a caller's request to a call that can be dispatched: the route, the
// limits, the deadline and the identity of the request; and from what came of
// it to the answer that the caller gets.
#ifndef FIREFLYSPAR_CALLERS_ROUTER_H_
#define FIREFLYSPAR_CALLERS_ROUTER_H_

#include "callers/call_path.h"
#include "callers/dispatch.h"
#include "callers/http_listener.h"
#include "callers/traffic.h"

namespace fireflyspar::callers {

class router {
 public:
  explicit router(const call_path_options& options)
      : options_(options),
        traffic_(options.clock, options.random),
        dispatcher_(options, traffic_) {}

  // A request of a caller on the listener that sees `listener`.
  net::awaitable<backend_servers::http_response> Route(
      incoming& call, config::visibility listener);

  // A request of another node for the server beside this one.
  net::awaitable<backend_servers::http_response> RunAtGate(incoming& call);

  // Refuses every new request from now on.
  void Finish() { finishing_ = true; }

 private:
  const call_path_options& options_;
  traffic traffic_;
  dispatcher dispatcher_;
  std::atomic<bool> finishing_{false};
};

}  // namespace fireflyspar::callers

#endif  // FIREFLYSPAR_CALLERS_ROUTER_H_
