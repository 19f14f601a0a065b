// Routes the requests that enter the mesh at this proxy: finds the route, the
// service and its version, chooses gates to offer the request to, and retries
// where that is safe. A backend server's response is returned as it is. If
// there is none, the caller gets an answer at once: a refusal with a
// Retry-After time if the request has certainly not run, and "unknown" if it
// may have run.
#ifndef FIREFLYSPAR_PROXY_ROUTER_H_
#define FIREFLYSPAR_PROXY_ROUTER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/metrics.h"
#include "decisions/attempt_offers.h"
#include "decisions/elapsed_time_estimator.h"
#include "decisions/gate_choice.h"
#include "decisions/route_index.h"
#include "decisions/server_directory.h"
#include "decisions/shared_retry_budget.h"
#include "decisions/typical_durations.h"
#include "proxy/caller_answers.h"
#include "proxy/deadline_notice.h"
#include "proxy/gate.h"
#include "proxy/gate_client.h"
#include "proxy/gate_reachability.h"
#include "proxy/header_names.h"
#include "proxy/listener.h"
#include "proxy/nested_calls.h"
#include "proxy/notice_book.h"
#include "proxy/open_requests.h"
#include "proxy/organisation_access.h"
#include "proxy/quota_exchange.h"
#include "proxy/rollouts.h"
#include "proxy/router_suspects.h"

namespace fireflyspar::proxy {

struct router_options {
  net::any_io_executor executor;
  std::string instance;
  std::string data_centre;
  header_names headers;
  base::metrics* metrics = nullptr;
  base::event_log* log = nullptr;
  base::random_hook random;
  gate* local_gate = nullptr;
  const decisions::server_directory* directory = nullptr;
  rollouts* rollout_states = nullptr;
  quota_exchange* quota = nullptr;  // Null: organisations have no limits.
  decisions::shared_retry_budget_options budget;
  // For answers from other instances. Has to be apart from that of the gate
  // here: otherwise two instances could wait for each other's room.
  backend_servers::answer_memory_options answers;
  // Returns the service of the backend server on this instance.
  std::function<std::string()> own_service;
  // See organisation_access_options.
  std::function<bool()> is_configuration_fresh = [] { return true; };
  // Returns whether nothing may be sent to the servers of a data centre.
  std::function<bool(std::string_view data_centre)> is_evacuated =
      [](std::string_view) { return false; };
  // Called with what another process holds of the shared objects.
  std::function<void(const decisions::server_entry& peer,
                     const shared_revisions& held)>
      on_peer_holds = [](const auto&, const auto&) {};
};

class router {
 public:
  explicit router(router_options options);

  // Puts a configuration in force. Its version must be higher than that of the
  // one in force.
  void SetConfiguration(config::mesh_configuration_ptr next);

  // Returns the configuration in force; null if there is none yet.
  const config::mesh_configuration* Configuration() const {
    return routes_ ? &routes_->Configuration() : nullptr;
  }

  net::awaitable<backend_servers::http_response> Route(served_call& call);

  // Must be called when the process begins to end: requests get their answers
  // by `end`, so that none is cut off. One that can't have a turn at a server
  // before then is refused as soon as that is known.
  void AnswerBy(base::steady_instant end);

  // Tells the gates of requests from before AnswerBy how much time is left.
  // Must be called a few times a second from then on, since messages may be
  // lost.
  void TellGates();

  // Answers all requests at once whose outcome is still open: their outcome is
  // unknown, unless they were not offered to a gate.
  void Abort() { open_.CancelAll(); }

  // Refuses callers' requests from now on. The backend server on this instance
  // can still make nested calls for the requests that it is running.
  void StartDraining() { is_draining_ = true; }

  // Must be called when the set of servers changed.
  void OnDirectoryChange();

  // Returns whether the last attempt to reach the instance's gate failed.
  bool IsUnreachable(std::string_view instance) const {
    return reachability_.IsUnreachable(instance);
  }

 private:
  // A request in progress.
  struct request_context {
    served_call* call = nullptr;
    std::shared_ptr<const decisions::route_index> routes;
    const config::mesh_route* route = nullptr;
    std::string service;
    // Its deadline is the earliest of the caller's, the route's and the
    // process's own end.
    open_request open;
    base::steady_instant begun;
    base::steady_instant objective;  // A response after this is late.
    bool is_nested_call = false;
    int priority = 0;  // Of the organisation, if any, and of the route.
    // Instances that may have run the request.
    std::set<std::string, std::less<>> ran_on;
    decisions::attempt_offers offers;  // Of the current attempt.
    int runs = 0;                      // Attempts so far that may have run.
    routed_identity identity;
    bool is_trial = false;  // Whether the gate chosen last is to try it.
  };

  // Decides whether the request may go on, and notes whether it is a call of
  // the backend server.
  access_result CheckAccess(request_context& context) const;
  // Takes a token of the limit of the organisation, if there is one.
  net::awaitable<quota_result> TakeQuota(
      const request_context& context, const config::organisation* organisation);
  backend_servers::http_response RefuseOverLimit(
      const backend_servers::http_request& request, const quota_result& quota);
  net::awaitable<gate_outcome> RunWithRetries(request_context& context);
  net::awaitable<gate_outcome> OfferUntilAdmitted(request_context& context);
  // Offers the request; its body is lent to the message that is sent, so that
  // it is in memory once.
  net::awaitable<gate_outcome> Offer(request_context& context,
                                     decisions::server_entry entry);
  base::duration WaitLimit(const request_context& context) const;
  std::vector<const decisions::server_entry*> UsableServers(
      const request_context& context, std::string_view version,
      base::steady_instant now) const;

  // Returns what is known of the request if servers ended under it; null
  // otherwise. Valid until the next wait.
  const decisions::suspect* FindSuspectOf(request_context& context) const;
  bool IsWithheld(request_context& context, std::string_view version) const;
  gate_outcome RefuseWithheld(request_context& context) const;
  const decisions::server_entry* ChooseAmong(
      request_context& context,
      std::span<const decisions::server_entry* const> servers,
      base::steady_instant now);

  // Returns the entry whose gate to offer the request to next; null if there is
  // none.
  const decisions::server_entry* ChooseGate(request_context& context,
                                            const std::string& version);
  bool MayRetry(request_context& context, const gate_outcome& outcome);
  void RecordOutcome(const request_context& context,
                     const decisions::server_entry& to,
                     const gate_outcome& outcome);
  // Returns the version in force; 0 if there is none.
  std::uint64_t Version() const;
  static request_report ReportOf(const request_context& context);

  router_options options_;
  bool is_draining_ = false;
  base::steady_instant end_ = base::steady_instant::max();
  open_requests open_;
  gate_client gates_;
  deadline_notifier deadlines_;
  std::shared_ptr<const decisions::route_index> routes_;
  caller_answers answers_;
  nested_calls calls_;
  organisation_access access_;
  decisions::weighted_target_selector target_selector_;
  decisions::gate_choice choice_;
  decisions::shared_retry_budget budget_;
  decisions::typical_durations typical_durations_;
  decisions::elapsed_time_estimator caller_timeouts_;
  // By instance.
  std::map<std::string, decisions::server_info, std::less<>> servers_seen_;
  gate_reachability reachability_;
  notice_book notices_;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_ROUTER_H_
