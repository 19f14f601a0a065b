// What the gate does about requests under which backend servers ended: it is in
// the way of every run, so it alone can hold a bound that is a sum over all
// routers. It notes what was in flight when its server ended, lets suspected
// requests in by the rules of decisions/crash_suspects.h, and clears those that
// ran to a good end.
#ifndef FIREFLYSPAR_PROXY_GATE_SUSPECTS_H_
#define FIREFLYSPAR_PROXY_GATE_SUSPECTS_H_

#include <array>
#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "base/event_log.h"
#include "base/metrics.h"
#include "decisions/crash_suspects.h"
#include "decisions/server_directory.h"
#include "decisions/trial_admission.h"
#include "proxy/gate_messages.h"
#include "proxy/header_names.h"

namespace fireflyspar::proxy {

struct gate_suspects_options {
  header_names headers;
  base::metrics* metrics = nullptr;
  base::event_log* log = nullptr;
  std::string instance;
  // Of this process; shared with its router.
  decisions::crash_suspects* suspects = nullptr;
  // Called when what is known of a request has changed here.
  std::function<void(const decisions::suspect&)> on_change = [](const auto&) {};
};

class gate_suspects {
 public:
  explicit gate_suspects(gate_suspects_options options)
      : options_(std::move(options)) {}

  // A request that was let in. Ends with Leave.
  struct running_request {
    std::optional<decisions::request_identity> identity;  // If it is suspected.
    decisions::suspect_admission admission;
  };

  // Takes in what the router that makes the offer knows of its request.
  void OnOffer(const call_offer& offer);

  // Returns the refusal of a request that must not run here now.
  std::optional<gate_outcome> Refuse(
      const call_offer& offer,
      const backend_servers::http_request& request) const;

  // Notes that the request runs from now on. Must not be called for one that
  // Refuse refuses.
  running_request Enter(const call_offer& offer,
                        const backend_servers::http_request& request);
  void Leave(const running_request& entered);

  // Records that the server ended under the request. Returns what is known of
  // it now.
  decisions::suspect OnServerEnd(const running_request& entered,
                                 const call_offer& offer,
                                 const backend_servers::http_request& request,
                                 const decisions::server_info& server);

  // Records that the request was given up on after it had been sent. The server
  // may still run it, and end under it soon.
  void OnGivenUp(const running_request& entered, const call_offer& offer,
                 const backend_servers::http_request& request,
                 const decisions::server_info& server);

  // Records that the server has ended: requests that were given up on shortly
  // before may have caused it.
  void OnEndFound(const decisions::server_info& server);

  // Records that the server answered the request.
  void OnAnswer(const running_request& entered, const call_offer& offer,
                const backend_servers::http_request& request,
                const decisions::server_info& server);

 private:
  // Hashes of requests that ran well lately; a newer one replaces an older one
  // in the same place.
  static constexpr std::size_t kRecentlyWell = 1024;

  struct given_up_request {
    decisions::suspect_run run;
    base::steady_instant at;
  };

  struct known_request {
    std::optional<decisions::request_identity> identity;
    const decisions::suspect* known = nullptr;
  };

  std::string_view CallerOf(const call_offer& offer,
                            const backend_servers::http_request& request) const;
  known_request Find(const call_offer& offer,
                     const backend_servers::http_request& request) const;
  bool HadRunWell(std::uint64_t hash) const {
    return recently_well_[hash % kRecentlyWell] == hash;
  }
  decisions::suspect_run MakeRun(const running_request& entered,
                                 const call_offer& offer,
                                 const backend_servers::http_request& request,
                                 const decisions::server_info& server) const;
  gate_outcome ToRefusal(decisions::suspect_refusal why,
                         const call_offer& offer,
                         const backend_servers::http_request& request,
                         const decisions::suspect& known) const;

  gate_suspects_options options_;
  decisions::trial_admission trials_;
  std::deque<given_up_request> given_up_;  // The latest ones, oldest first.
  std::array<std::uint64_t, kRecentlyWell> recently_well_{};
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_GATE_SUSPECTS_H_
