// Dispatches one routed call to a backend server. Chooses the version and the
// server, sends the request through the gate of the node beside that server,
// and retries at another server where that is safe and within the retry budget.
#ifndef FIREFLYSPAR_CALLERS_DISPATCH_H_
#define FIREFLYSPAR_CALLERS_DISPATCH_H_

#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "backend_servers/local_server.h"
#include "callers/call_path.h"
#include "callers/traffic_controller.h"
#include "callers/worker_pool.h"
#include "decisions/server_index.h"

namespace fireflyspar::callers {

// A call with its route, deadline and request id, ready to be dispatched to a
// server.
struct routed_call {
  decisions::fleet_view_ptr view;
  const config::service* service = nullptr;  // Points into `view`.
  std::string route;
  bool at_most_once = false;
  // False when the caller marked the call as a retry, or as a call that it
  // makes while it handles a retry.
  bool may_retry = true;
  base::instant deadline;
  std::string request_id;
  backend_servers::http_request request;  // As forwarded.
  // The worker that has the caller's connection.
  worker* assigned_worker = nullptr;
  std::shared_ptr<backend_servers::cancellation> cancel;
};

class dispatcher {
 public:
  dispatcher(const call_path_options& options, traffic_controller& traffic)
      : options_(options), traffic_(traffic) {}

  // Returns a backend server's answer, or a refusal.
  net::awaitable<backend_servers::dispatch_result> Dispatch(routed_call& call);

  // Sends the call's request to a node's gate address. Changes nothing in it
  // but the headers for the remaining time and the exchange id.
  net::awaitable<backend_servers::dispatch_result> SendToNode(
      routed_call& call, const base::address& to);

 private:
  // The version that the traffic shares select for a call, and a server of it;
  // no server when none is usable.
  struct selected_server {
    const decisions::member_record* member = nullptr;
    std::string version;
  };

  selected_server ChooseServer(const routed_call& call,
                               const std::vector<std::string>& tried);
  net::awaitable<backend_servers::dispatch_result> SendAttempt(
      routed_call& call, const selected_server& target, int attempt);
  net::awaitable<backend_servers::dispatch_result> SendToGate(
      routed_call& call, const selected_server& target);
  void Record(const routed_call& call, const selected_server& target,
              const backend_servers::dispatch_result& answer,
              base::duration latency);

  // A view and the index of its servers. Owns the view, since the index points
  // into it.
  struct indexed_view {
    explicit indexed_view(decisions::fleet_view_ptr source_view)
        : view(std::move(source_view)), servers(view->members) {}

    decisions::fleet_view_ptr view;
    decisions::server_index servers;
  };
  using indexed_view_ptr = std::shared_ptr<const indexed_view>;

  indexed_view_ptr IndexOf(const decisions::fleet_view_ptr& view);

  const call_path_options& options_;
  traffic_controller& traffic_;

  std::mutex index_mutex_;
  indexed_view_ptr indexed_;  // The index built last.
};

}  // namespace fireflyspar::callers

#endif  // FIREFLYSPAR_CALLERS_DISPATCH_H_
