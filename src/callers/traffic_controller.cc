#include "callers/traffic_controller.h"

namespace fireflyspar::callers {
namespace {

constexpr std::chrono::seconds kPruneInterval{60};

}  // namespace

std::optional<std::size_t> traffic_controller::ChooseServer(
    std::span<const decisions::server_candidate> candidates,
    std::span<const std::string> avoided) {
  const base::instant now = clock_();
  const std::lock_guard lock(balancer_mutex_);
  if (now - last_prune_ > kPruneInterval) {
    balancer_.Prune(now);
    last_prune_ = now;
  }
  const auto chosen = balancer_.Choose(candidates, avoided, random_, now);
  if (chosen) balancer_.OnDispatch(candidates[*chosen].id, now);
  return chosen;
}

void traffic_controller::OnEnd(std::string_view node_id,
                               decisions::call_ending ending,
                               base::duration latency,
                               std::optional<int> gate_load) {
  const base::instant now = clock_();
  const std::lock_guard lock(balancer_mutex_);
  balancer_.OnEnd(node_id, ending, latency, now);
  if (gate_load) balancer_.OnGateLoad(node_id, *gate_load, now);
}

void traffic_controller::OnFirstAttempt(const std::string& service) {
  const std::lock_guard lock(limits_mutex_);
  retry_budgets_[service].OnFirstAttempt(clock_());
}

bool traffic_controller::TryTakeRetry(const config::service& service) {
  const std::lock_guard lock(limits_mutex_);
  return retry_budgets_[service.name].TryTake(service.retries.budget_percent,
                                              clock_());
}

bool traffic_controller::TryTakeRateToken(const config::service& service) {
  if (service.max_calls_per_second <= 0) return true;
  const std::lock_guard lock(limits_mutex_);
  return rate_limits_[service.name].TryTake(service.max_calls_per_second,
                                            clock_());
}

bool traffic_controller::TryAcquireCallerSlot(const std::string& service,
                                              std::string_view caller,
                                              int max_in_flight) {
  const std::lock_guard lock(limits_mutex_);
  return caller_limits_[service].Enter(caller, max_in_flight);
}

void traffic_controller::ReleaseCallerSlot(const std::string& service,
                                           std::string_view caller) {
  const std::lock_guard lock(limits_mutex_);
  caller_limits_[service].Leave(caller);
}

}  // namespace fireflyspar::callers
