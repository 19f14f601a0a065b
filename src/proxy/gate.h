// The gate admits requests to the backend server on this instance. All requests
// to the server pass through it, so it knows what the server is running and
// alone decides which requests to admit and when. A request that it reports as
// "not run" has certainly not run: either no byte of it was sent to the server,
// or the server itself refused it. The gate also measures the server: its
// latency, its failure rate, and the outcomes of the requests on each route.
#ifndef FIREFLYSPAR_PROXY_GATE_H_
#define FIREFLYSPAR_PROXY_GATE_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "backend_servers/connection_pool.h"
#include "base/address.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "decisions/ranked_admission.h"
#include "decisions/server_directory.h"
#include "proxy/gate_messages.h"
#include "proxy/header_names.h"

namespace fireflyspar::proxy {

// The state that a backend server reports periodically to the proxy.
struct server_heartbeat {
  decisions::server_info server;
  base::address address;
  std::uint64_t sequence = 0;  // Increases with each heartbeat of one start.
  base::duration cold_left{};  // Remaining time of slowness after its start.
};

struct gate_options {
  net::any_io_executor executor;
  header_names headers;
  base::clock_hook clock;
  base::metrics* metrics = nullptr;
  base::event_log* log = nullptr;
  // Called when the published state of the server changes; nullopt when the
  // server is gone.
  std::function<void(const std::optional<decisions::server_info>&)> on_change;
};

class gate {
 public:
  explicit gate(gate_options options);

  // Applies a heartbeat. Returns false when it is not newer than the last one.
  bool OnHeartbeat(const server_heartbeat& heartbeat);

  // Handles a server's notice that it is leaving. The server gets no new
  // requests from now on, even if it has not reported to this process yet.
  void OnLeave(std::string_view server_id);

  // Detects a server that stopped reporting. Must be called a few times a
  // second.
  void Tick();

  // Stops admitting requests, whatever the server reports.
  void Close();

  // Runs the request at the server if and when it is admitted. `read_body`, if
  // set, reads the request's body after admission.
  net::awaitable<gate_outcome> Run(
      const call_offer& offer, backend_servers::http_request& request,
      const std::function<net::awaitable<bool>()>& read_body,
      backend_servers::cancellation& cancel);

  const std::optional<decisions::server_info>& Server() const {
    return server_;
  }
  int Running() const { return admission_.Running(); }

  // Returns whether the server is running a request with this id now. The ids
  // of nested calls that it makes for the request begin with this id.
  bool IsRunning(std::string_view request_id) const {
    return running_.contains(request_id);
  }

 private:
  struct waiter {
    explicit waiter(const net::any_io_executor& executor) : timer(executor) {}
    net::steady_timer timer;
    std::optional<decisions::admission_result> result;
  };

  net::awaitable<decisions::admission_result> WaitForAdmission(
      decisions::admission_request pending,
      backend_servers::cancellation& cancel);
  net::awaitable<gate_outcome> Send(const call_offer& offer,
                                    backend_servers::http_request& request,
                                    base::steady_instant deadline,
                                    backend_servers::cancellation& cancel);
  net::awaitable<gate_outcome> SendAndTrack(
      const call_offer& offer, backend_servers::http_request& request,
      base::steady_instant deadline, backend_servers::cancellation& cancel);
  void NotifyWaiters();
  void RecordOutcome(const call_offer& offer, const gate_outcome& outcome,
                     base::duration took);
  void LogOutcome(const call_offer& offer,
                  const backend_servers::http_request& request,
                  const gate_outcome& outcome, base::duration waited);
  gate_status Status(const std::string& route, base::duration took) const;
  bool HasLeftBefore(const decisions::server_info& server);
  bool IsCold(base::steady_instant now) const { return now < cold_until_; }
  void UpdateAdmission();

  gate_options options_;
  backend_servers::connection_pool pool_;
  decisions::ranked_admission admission_;
  std::map<std::uint64_t, waiter*> waiters_;
  std::multiset<std::string, std::less<>> running_;  // Request ids.
  std::uint64_t last_ticket_ = 0;

  std::optional<decisions::server_info> server_;
  base::address address_;
  std::uint64_t sequence_ = 0;
  base::steady_instant last_heartbeat_at_;
  base::steady_instant cold_until_;
  bool is_leaving_ = false;
  // Servers whose notice to leave arrived before any heartbeat: by server id,
  // the Unix time in milliseconds at which the notice arrived. Heartbeats that
  // they sent before it may still arrive.
  std::map<std::string, std::int64_t, std::less<>> early_leaves_;
  bool is_closed_ = false;
  bool is_misaddressed_ = false;  // Another server responds at `address_`.

  double latency_ratio_ = 1;
  double failure_rate_ = 0;
  base::steady_instant failure_rate_updated_at_;
  std::map<std::string, decisions::run_counts, std::less<>> counts_;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_GATE_H_
