// Tracks which gates are unreachable. A gate that could not be reached is
// probed in the background by connecting to it, so that no request has to wait
// for a connect that fails. When a whole data centre is cut off, failures of a
// few of its gates suffice to avoid all of them.
#ifndef FIREFLYSPAR_PROXY_GATE_REACHABILITY_H_
#define FIREFLYSPAR_PROXY_GATE_REACHABILITY_H_

#include <functional>
#include <set>
#include <string>
#include <string_view>

#include "backend_servers/http.h"
#include "base/event_log.h"
#include "base/hooks.h"
#include "decisions/data_centre_reach.h"
#include "decisions/server_directory.h"

namespace fireflyspar::proxy {

namespace net = boost::asio;

struct gate_reachability_options {
  net::any_io_executor executor;
  base::random_hook random;
  base::event_log* log = nullptr;
  std::string data_centre;  // Of this proxy; never considered cut off.
  const decisions::server_directory* directory = nullptr;
  // Called when a gate that was unreachable accepts connections again.
  std::function<void(std::string_view instance)> on_reached;
};

class gate_reachability {
 public:
  explicit gate_reachability(gate_reachability_options options)
      : options_(std::move(options)) {}

  void OnUnreachable(const decisions::server_entry& gate,
                     base::steady_instant now);

  // Records that a gate of the data centre responded.
  void OnAnswer(std::string_view data_centre) {
    data_centres_.OnReachable(data_centre);
  }

  // Returns whether the gate could not be reached and is probed.
  bool IsUnreachable(std::string_view instance) const {
    return probed_instances_.contains(instance);
  }

  bool IsCutOff(std::string_view data_centre, base::steady_instant now) const {
    return data_centres_.IsCutOff(data_centre, now);
  }

 private:
  // Tries to connect until that succeeds or the directory no longer has an
  // entry with the gate's address.
  net::awaitable<void> ProbeUntilReachable(decisions::server_entry gate);

  bool IsKnown(const decisions::server_entry& gate) const;

  gate_reachability_options options_;
  decisions::data_centre_reach data_centres_;
  std::set<std::string, std::less<>> probed_instances_;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_GATE_REACHABILITY_H_
