// Traffic state that the workers of a node's call path share: the balancer, the
// retry budgets and the limits of calls. One lock protects the balancer and
// another the budgets and limits. The two are never held together.
#ifndef FIREFLYSPAR_CALLERS_TRAFFIC_CONTROLLER_H_
#define FIREFLYSPAR_CALLERS_TRAFFIC_CONTROLLER_H_

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "base/hooks.h"
#include "config/preset.h"
#include "decisions/balancer.h"
#include "decisions/rate_limit.h"
#include "decisions/retry_budget.h"

namespace fireflyspar::callers {

class traffic_controller {
 public:
  traffic_controller(base::clock_hook clock, base::random_hook random)
      : clock_(std::move(clock)), random_(std::move(random)) {}

  // Chooses one of `candidates` for a call (decisions/balancer.h) and counts
  // the choice as a dispatch.
  std::optional<std::size_t> ChooseServer(
      std::span<const decisions::server_candidate> candidates,
      std::span<const std::string> avoided);
  // Records how a dispatched call ended. `gate_load` is the number of requests
  // running and waiting at the server's gate, if it was reported.
  void OnEnd(std::string_view node_id, decisions::call_ending ending,
             base::duration latency, std::optional<int> gate_load);

  void OnFirstAttempt(const std::string& service);
  bool TryTakeRetry(const config::service& service);

  // Takes one call from the service's rate limit. Returns false when the limit
  // is reached.
  bool TryTakeRateToken(const config::service& service);

  // Counts one more call of the caller as in flight. Returns false when it
  // already has `max_in_flight` calls in flight; 0 is no limit. A call that was
  // counted must be followed by ReleaseCallerSlot.
  bool TryAcquireCallerSlot(const std::string& service, std::string_view caller,
                            int max_in_flight);
  void ReleaseCallerSlot(const std::string& service, std::string_view caller);

 private:
  base::clock_hook clock_;
  base::random_hook random_;

  std::mutex balancer_mutex_;
  decisions::balancer balancer_;
  base::instant last_prune_;

  std::mutex limits_mutex_;
  std::map<std::string, decisions::retry_budget> retry_budgets_;
  std::map<std::string, decisions::rate_limit> rate_limits_;
  std::map<std::string, decisions::caller_limit> caller_limits_;
};

}  // namespace fireflyspar::callers

#endif  // FIREFLYSPAR_CALLERS_TRAFFIC_CONTROLLER_H_
