// Brings one routed call to a backend server: chooses the version and the
// server, goes through the gate of the node beside it, and tries again
// elsewhere where that is both safe and within the retry budget.
#ifndef FIREFLYSPAR_CALLERS_DISPATCH_H_
#define FIREFLYSPAR_CALLERS_DISPATCH_H_

#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "backend_servers/local_server.h"
#include "callers/call_path.h"
#include "callers/traffic.h"
#include "callers/worker_pool.h"
#include "decisions/server_index.h"

namespace fireflyspar::callers {

// A call for which everything but the server is settled.
struct routed_call {
  decisions::fleet_view_ptr view;
  const config::service* service = nullptr;  // In `view`.
  std::string route;
  bool at_most_once = false;
  bool may_retry = true;  // False below a retry further up.
  base::instant deadline;
  std::string request_id;
  backend_servers::http_request request;  // To be sent on, cleaned.
  worker* home = nullptr;
  std::shared_ptr<backend_servers::cancellation> cancel;
};

class dispatcher {
 public:
  dispatcher(const call_path_options& options, traffic& shared)
      : options_(options), traffic_(shared) {}

  // The answer of a backend server, or the refusal that stands in its place.
  net::awaitable<backend_servers::gate_answer> Dispatch(routed_call& call);

  // Sends the call's request to a node's gate address as it stands, with the
  // time left and an exchange id.
  net::awaitable<backend_servers::gate_answer> SendToNode(
      routed_call& call, const base::address& to);

 private:
  // A server of the version that the shares choose for this call.
  struct choice {
    const decisions::member_record* member = nullptr;
    std::string version;
  };

  choice ChooseServer(const routed_call& call,
                      const std::vector<std::string>& tried);
  net::awaitable<backend_servers::gate_answer> Try(routed_call& call,
                                                   const choice& target,
                                                   int attempt);
  net::awaitable<backend_servers::gate_answer> SendToGate(routed_call& call,
                                                          const choice& target);
  void Record(const routed_call& call, const choice& target,
              const backend_servers::gate_answer& answer,
              base::duration latency);

  // A view with its index; keeps the view alive, which the index points into.
  struct indexed_view {
    explicit indexed_view(decisions::fleet_view_ptr of)
        : view(std::move(of)), servers(view->members) {}

    decisions::fleet_view_ptr view;
    decisions::server_index servers;
  };
  using indexed_view_ptr = std::shared_ptr<const indexed_view>;

  indexed_view_ptr IndexOf(const decisions::fleet_view_ptr& view);

  const call_path_options& options_;
  traffic& traffic_;

  std::mutex index_mutex_;
  indexed_view_ptr indexed_;  // Of the latest view that a call had.
};

}  // namespace fireflyspar::callers

#endif  // FIREFLYSPAR_CALLERS_DISPATCH_H_
