// Keeps the limit on requests to the gate's backend server while it is cold
// (decisions/cold_start.h): takes in its reports, and asks its health path when
// these may be out of date.
#ifndef FIREFLYSPAR_PROXY_GATE_COLD_START_H_
#define FIREFLYSPAR_PROXY_GATE_COLD_START_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "backend_servers/connection_pool.h"
#include "base/address.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "config/mesh_configuration.h"
#include "decisions/cold_start.h"
#include "decisions/server_directory.h"
#include "proxy/header_names.h"

namespace fireflyspar::proxy {

namespace net = boost::asio;

// What the configuration says of cold servers of a service.
struct cold_start_rules {
  // Requests a second that a cold server takes; nothing: no limit.
  std::optional<double> requests_per_second;
  std::string health_path;  // Empty: none.
};

// Returns what the configuration says of cold servers of the service. `known`:
// the one in force; null if there is none yet.
cold_start_rules ColdStartRulesOf(const config::mesh_configuration* known,
                                  std::string_view service);

struct gate_cold_start_options {
  net::any_io_executor executor;
  header_names headers;
  base::metrics* metrics = nullptr;
  base::event_log* log = nullptr;
  // Returns what holds for the servers of a service.
  std::function<cold_start_rules(std::string_view service)> rules =
      [](std::string_view) { return cold_start_rules{}; };
  // Called when an answer of the health path has changed what is known.
  std::function<void()> on_change = [] {};
};

class gate_cold_start {
 public:
  explicit gate_cold_start(gate_cold_start_options options)
      : options_(std::move(options)),
        pool_(options_.executor, backend_servers::kShortAnswers) {}

  // Must be called with the first report of each start of a server, and with
  // each later one.
  void Restart(const decisions::server_info& server, base::address address,
               base::steady_instant cold_until);
  void OnReport(base::steady_instant cold_until) {
    state_.OnReport(cold_until);
  }

  // Notes that the server may be cold although its reports don't say so, and
  // asks it until it tells.
  void OnUncertain();

  // Must be called when the server is considered gone: it is asked no more, as
  // another server may come to its address.
  void OnGone() { state_.Restart({}); }

  // Returns the limit for a server that is cold now, in requests a second;
  // nothing if it is not cold, or not limited then.
  std::optional<double> ColdLimit(base::steady_instant now) const;

  // Returns the lower of the limit now and of `other_limit`.
  std::optional<double> Limit(std::optional<double> other_limit,
                              base::steady_instant now) const;

 private:
  net::awaitable<void> AskUntilCertain();
  // Returns how long the server stays cold; nothing if it does not tell.
  net::awaitable<std::optional<base::duration>> Ask();
  cold_start_rules Rules() const { return options_.rules(server_.service); }

  gate_cold_start_options options_;
  backend_servers::connection_pool pool_;
  decisions::cold_start state_;
  decisions::server_info server_;
  base::address address_;
  bool is_asking_ = false;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_GATE_COLD_START_H_
