#include "proxy/rollouts.h"

#include <algorithm>
#include <chrono>

namespace fireflyspar::proxy {
namespace {

using base::event_weight;
using decisions::trial_order;
using decisions::trial_state;
using decisions::version_trial;
using steady = std::chrono::steady_clock;

std::string_view ToText(trial_state state) {
  switch (state) {
    case trial_state::kRunning:
      return "running";
    case trial_state::kSucceeded:
      return "succeeded";
    case trial_state::kRolledBack:
      return "rolled_back";
  }
  return "";
}

}  // namespace

void rollouts::OnOrder(const trial_order& order, bool has_state,
                       base::duration age) {
  const auto known = trials_.find(order.service);
  const bool is_known = known != trials_.end() &&
                        decisions::IsSameOrder(known->second.Order(), order);
  if (is_known) {
    const trial_state before = known->second.Order().state;
    known->second.SetState(order.state);
    if (known->second.Order().state != before) {
      Report(known->second, "rollout_ended_elsewhere");
    }
    return;
  }
  if (!stable_.contains(order.service)) {
    stable_[order.service] =
        options_.directory->MainVersion(order.service, order.target_version);
  }
  trials_.erase(order.service);
  const auto [added, _] = trials_.try_emplace(
      order.service, version_trial(order, steady::now() - age));
  Report(added->second, "rollout_seen");
  if (!has_state && order.state == trial_state::kRunning) {
    options_.write_state(order);
  }
}

void rollouts::Report(const version_trial& trial, std::string_view event) {
  const trial_order& order = trial.Order();
  if (order.state == trial_state::kSucceeded) {
    stable_[order.service] = order.target_version;
  }
  options_.log->Write(event_weight::kState, event,
                      {{"service", order.service},
                       {"version", order.target_version},
                       {"state", std::string(ToText(order.state))},
                       {"evidence", trial.Evidence()}});
}

std::string rollouts::StableVersion(const std::string& service) const {
  const auto known = stable_.find(service);
  const bool has_servers =
      known != stable_.end() && !known->second.empty() &&
      std::ranges::any_of(options_.directory->Serving(service),
                          [&](const decisions::server_entry* each) {
                            return each->server.version == known->second;
                          });
  if (has_servers) return known->second;
  const auto trial = trials_.find(service);
  const bool excludes_target =
      trial != trials_.end() &&
      trial->second.Order().state != trial_state::kSucceeded;
  return options_.directory->MainVersion(
      service, excludes_target ? trial->second.Order().target_version : "");
}

std::string rollouts::ChooseVersion(const std::string& service) {
  const auto trial = trials_.find(service);
  if (trial != trials_.end()) {
    const double share = trial->second.Share(steady::now());
    if (base::Unit(options_.random()) < share) {
      const std::string& target = trial->second.Order().target_version;
      const bool has_servers =
          std::ranges::any_of(options_.directory->Serving(service),
                              [&](const decisions::server_entry* each) {
                                return each->server.version == target;
                              });
      if (has_servers) return target;
    }
  } else if (!stable_.contains(service)) {
    // The version that the service runs at first gets its requests without an
    // order; versions that appear later need one.
    const std::string first = options_.directory->MainVersion(service, "");
    if (!first.empty()) stable_[service] = first;
  }
  return StableVersion(service);
}

std::string rollouts::OtherVersion(const std::string& service,
                                   const std::string& version) const {
  const std::string stable = StableVersion(service);
  return stable == version ? std::string() : stable;
}

bool rollouts::IsOnTrial(const std::string& service,
                         const std::string& version) const {
  const auto trial = trials_.find(service);
  return trial != trials_.end() &&
         trial->second.Order().target_version == version &&
         trial->second.Order().state != trial_state::kSucceeded;
}

void rollouts::OnStatus(const std::string& service, const std::string& route,
                        const gate_status& status) {
  const auto trial = trials_.find(service);
  if (trial == trials_.end()) return;
  if (trial->second.Order().state != trial_state::kRunning) return;
  trial->second.Count(status.server_id, status.version, route, status.counts);
  if (!trial->second.Judge()) return;
  Report(trial->second, "rollout_found_bad");
  options_.write_state(trial->second.Order());
}

void rollouts::Tick() {
  for (auto& [service, trial] : trials_) {
    if (!trial.IsComplete(steady::now())) continue;
    trial_order order = trial.Order();
    order.state = trial_state::kSucceeded;
    options_.write_state(order);
  }
}

}  // namespace fireflyspar::proxy
