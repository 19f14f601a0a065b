#include "proxy/rollouts.h"

#include <algorithm>
#include <chrono>
#include <span>
#include <utility>

namespace fireflyspar::proxy {
namespace {

using base::event_priority;
using decisions::rollout_order;
using decisions::rollout_state;
using decisions::version_rollout;
using steady = std::chrono::steady_clock;

std::string_view ToText(rollout_state state) {
  switch (state) {
    case rollout_state::kRunning:
      return "running";
    case rollout_state::kSucceeded:
      return "succeeded";
    case rollout_state::kRolledBack:
      return "rolled_back";
  }
  return "";
}

bool Contains(std::span<const std::string> versions, std::string_view version) {
  return std::ranges::find(versions, version) != versions.end();
}

}  // namespace

void rollouts::OnRolloutOrder(const rollout_order& order, bool has_state,
                              base::duration age) {
  const auto known = rollouts_.find(order.service);
  const bool is_known = known != rollouts_.end() &&
                        decisions::IsSameOrder(known->second.Order(), order);
  if (is_known) {
    const rollout_state before = known->second.Order().state;
    known->second.Update(order);
    const rollout_order& now_known = known->second.Order();
    if (now_known.state != before) {
      OnStateChange(known->second, "rollout_ended_elsewhere");
    }
    // The store has lost what was written to it: nothing yet, or the outcome.
    if (!has_state || now_known.state != order.state) {
      options_.write_state(now_known);
    }
    return;
  }
  rollouts_.erase(order.service);
  const auto [added, _] = rollouts_.try_emplace(
      order.service, version_rollout(order, steady::now() - age));
  OnStateChange(added->second, "rollout_seen");
  if (!has_state && order.state == rollout_state::kRunning) {
    options_.write_state(order);
  }
}

void rollouts::OnStateChange(const version_rollout& rollout,
                             std::string_view event) {
  const rollout_order& order = rollout.Order();
  options_.log->Write(event_priority::kStateChange, event,
                      {{"service", order.service},
                       {"version", order.target_version},
                       {"state", std::string(ToText(order.state))},
                       {"evidence", rollout.Evidence()}});
}

std::string_view rollouts::StableVersion(const std::string& service) const {
  const auto versions = options_.directory->Versions(service);
  const auto rollout = rollouts_.find(service);
  const bool has_order = rollout != rollouts_.end();
  const std::string_view target =
      has_order ? rollout->second.Order().target_version : std::string_view();
  const bool has_succeeded =
      has_order && rollout->second.Order().state == rollout_state::kSucceeded;
  if (has_succeeded && Contains(versions, target)) return target;
  const auto oldest =
      std::ranges::find_if(versions, [&](const std::string& version) {
        return !has_order || version != target;
      });
  return oldest == versions.end() ? std::string_view() : *oldest;
}

void rollouts::NoteStableVersion(const std::string& service,
                                 std::string_view version) {
  std::string& logged = logged_stable_versions_[service];
  if (logged == version) return;
  logged = version;
  options_.log->Write(event_priority::kStateChange, "stable_version",
                      {{"service", service}, {"version", logged}});
}

bool rollouts::IsWaitingForOrders() {
  if (are_orders_read_) return false;
  const auto now = steady::now();
  if (!waits_since_) waits_since_ = now;
  if (now - *waits_since_ < options_.wait_for_orders) return true;
  if (!std::exchange(has_logged_wait_, true)) {
    options_.log->Write(event_priority::kFailure, "rollout_orders_unread", {});
  }
  return false;
}

std::string rollouts::ChooseVersion(const std::string& service) {
  const auto rollout = rollouts_.find(service);
  if (rollout != rollouts_.end()) {
    const double share = rollout->second.Share(steady::now());
    const std::string& target = rollout->second.Order().target_version;
    const bool takes_part =
        base::ToUnitInterval(options_.random()) < share &&
        Contains(options_.directory->Versions(service), target);
    if (takes_part) return target;
  } else if (IsWaitingForOrders()) {
    return {};
  }
  const std::string_view stable = StableVersion(service);
  NoteStableVersion(service, stable);
  return std::string(stable);
}

std::string rollouts::FallbackVersion(const std::string& service,
                                      const std::string& version) const {
  if (version.empty()) return {};
  const std::string_view stable = StableVersion(service);
  return stable == version ? std::string() : std::string(stable);
}

bool rollouts::IsUnproven(const std::string& service,
                          const std::string& version) const {
  const auto rollout = rollouts_.find(service);
  return rollout != rollouts_.end() &&
         rollout->second.Order().target_version == version &&
         rollout->second.Order().state != rollout_state::kSucceeded;
}

void rollouts::OnStatus(const std::string& service, const std::string& route,
                        const gate_status& status) {
  const auto rollout = rollouts_.find(service);
  if (rollout == rollouts_.end()) return;
  if (rollout->second.Order().state != rollout_state::kRunning) return;
  rollout->second.Count(status.server_id, status.version, route, status.counts);
  if (!rollout->second.Evaluate()) return;
  OnStateChange(rollout->second, "rollout_found_bad");
  options_.write_state(rollout->second.Order());
}

void rollouts::Tick() {
  for (auto& [service, rollout] : rollouts_) {
    if (!rollout.IsComplete(steady::now())) continue;
    rollout_order order = rollout.Order();
    order.state = rollout_state::kSucceeded;
    options_.write_state(order);
  }
}

}  // namespace fireflyspar::proxy
