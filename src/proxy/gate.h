// The gate in front of the backend server beside this proxy: the only way to
// it. It knows what the server runs, so it alone decides what is let in and
// when; its "not run" is true because no byte went on. It also measures the
// server: how fast it is, how often it fails, and what came of each route's
// requests.
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

// What a backend server reports of itself, again and again.
struct server_report {
  decisions::server_info server;
  base::address address;
  std::uint64_t sequence = 0;  // Grows with each report of one start.
  base::duration cold_left{};  // How much longer it is slow after its start.
};

struct gate_options {
  net::any_io_executor executor;
  header_names headers;
  base::clock_hook clock;
  base::metrics* metrics = nullptr;
  base::event_log* log = nullptr;
  // Told when the server's published part changes; nothing when it is gone.
  std::function<void(const std::optional<decisions::server_info>&)> on_change;
};

class gate {
 public:
  explicit gate(gate_options options);

  // Takes a report in; false when it is older than what is known.
  bool OnReport(const server_report& report);

  // The server said that it leaves. It gets nothing new from now on, also when
  // it has not reported to this process yet.
  void OnLeave(std::string_view server_id);

  // Called a few times a second: notices a server that stopped reporting.
  void Tick();

  // Lets nothing new in, whatever the server reports.
  void Close();

  // Runs the request at the server, when and if it is let in. `read_body`,
  // where set, brings the rest of the request once it is let in.
  net::awaitable<gate_outcome> Run(
      const call_offer& offer, backend_servers::http_request& request,
      const std::function<net::awaitable<bool>()>& read_body,
      backend_servers::cancellation& cancel);

  const std::optional<decisions::server_info>& Server() const {
    return server_;
  }
  int Running() const { return admission_.Running(); }

  // Whether the server is running a request with that id now. Calls that it
  // makes meanwhile have ids that begin with it.
  bool IsRunning(std::string_view request_id) const {
    return running_.contains(request_id);
  }

 private:
  struct waiter {
    explicit waiter(const net::any_io_executor& executor) : timer(executor) {}
    net::steady_timer timer;
    std::optional<decisions::admission_result> result;
  };

  net::awaitable<decisions::admission_result> WaitForTurn(
      decisions::admission_claim claim, backend_servers::cancellation& cancel);
  net::awaitable<gate_outcome> Send(const call_offer& offer,
                                    backend_servers::http_request& request,
                                    base::steady_instant deadline,
                                    backend_servers::cancellation& cancel);
  net::awaitable<gate_outcome> SendAsRunning(
      const call_offer& offer, backend_servers::http_request& request,
      base::steady_instant deadline, backend_servers::cancellation& cancel);
  void GiveTurns();
  void Observe(const call_offer& offer, const gate_outcome& outcome,
               base::duration took);
  void LogOutcome(const call_offer& offer,
                  const backend_servers::http_request& request,
                  const gate_outcome& outcome, base::duration waited);
  gate_status Status(const std::string& route, base::duration took) const;
  bool HasLeftBefore(const decisions::server_info& server);
  bool IsCold(base::steady_instant now) const { return now < cold_until_; }
  void Apply();

  gate_options options_;
  backend_servers::connection_pool pool_;
  decisions::ranked_admission admission_;
  std::map<std::uint64_t, waiter*> waiters_;
  std::multiset<std::string, std::less<>> running_;  // Ids of requests.
  std::uint64_t last_ticket_ = 0;

  std::optional<decisions::server_info> server_;
  base::address address_;
  std::uint64_t sequence_ = 0;
  base::steady_instant heard_;
  base::steady_instant cold_until_;
  bool has_left_ = false;
  // Servers that left without having reported here, by id, and the Unix time of
  // it in milliseconds. Reports that were sent before may still come.
  std::map<std::string, std::int64_t, std::less<>> early_leaves_;
  bool is_closed_ = false;
  bool is_misaddressed_ = false;  // Another server answers at the address.

  double pace_ = 1;
  double failing_share_ = 0;
  base::steady_instant failing_seen_;
  std::map<std::string, decisions::run_counts, std::less<>> counts_;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_GATE_H_
