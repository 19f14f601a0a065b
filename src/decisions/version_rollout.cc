#include "decisions/version_rollout.h"

#include <algorithm>
#include <ranges>

namespace fireflyspar::decisions {
namespace {

// The minimum numbers of failed and of slow requests that count as evidence.
constexpr std::uint64_t kMinFailed = 4;
constexpr std::uint64_t kMinSlow = 5;

// A new version is worse if its rate of failed or slow requests is above the
// old version's rate times the multiple plus the floor.
constexpr double kFailedFloor = 0.08;
constexpr double kSlowFloor = 0.2;
constexpr double kFailedMultiple = 3;
constexpr double kSlowMultiple = 2;

// The minimum number of the old version's requests on a route before the route
// is evaluated on its own.
constexpr std::uint64_t kMinOldRequests = 10;

// Returns part / total, or 0 if the total is 0.
double Ratio(std::uint64_t part, std::uint64_t total) {
  return total == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(total);
}

}  // namespace

version_rollout::version_rollout(rollout_order order,
                                 base::steady_instant began,
                                 version_rollout_options options)
    : order_(std::move(order)),
      is_outcome_stored_(order_.state != rollout_state::kRunning),
      began_(began),
      options_(options) {}

void version_rollout::Update(const rollout_order& read) {
  order_.created = read.created;
  if (is_outcome_stored_ || read.state == rollout_state::kRunning) return;
  order_.state = read.state;
  is_outcome_stored_ = true;
}

void version_rollout::Count(std::string_view server_id,
                            std::string_view version, std::string_view route,
                            const run_counts& counts) {
  const auto key = std::pair(std::string(server_id), std::string(route));
  const auto [entry, is_first] = sources_.try_emplace(key);
  source& counted = entry->second;
  if (is_first) {
    counted.version = version;
    // All of the new version's requests belong to this rollout.
    if (version != order_.target_version) counted.first = counts;
    routes_.try_emplace(std::string(route), 0);
  }
  if (counts.total >= counted.latest.total) counted.latest = counts;
}

double version_rollout::ElapsedFraction(base::steady_instant now) const {
  const std::chrono::duration<double> elapsed = now - began_;
  const std::chrono::duration<double> period = order_.period;
  return period.count() <= 0 ? 1 : elapsed / period;
}

double version_rollout::Share(base::steady_instant now) const {
  if (order_.state == rollout_state::kRolledBack) return 0;
  if (order_.state == rollout_state::kSucceeded) return 1;
  const double part = ElapsedFraction(now);
  if (part < options_.canary_until) return options_.canary_share;
  if (Sum(true, "").total < options_.min_new_requests) {
    return options_.canary_share;
  }
  if (part < options_.middle_until) return options_.middle_share;
  if (part < options_.large_until) return options_.large_share;
  return 1;
}

run_counts version_rollout::Sum(bool is_new, std::string_view route) const {
  run_counts sum;
  for (const auto& [key, each] : sources_) {
    if ((each.version == order_.target_version) != is_new) continue;
    if (!route.empty() && key.second != route) continue;
    sum += {.total = each.latest.total - each.first.total,
            .failed = each.latest.failed - each.first.failed,
            .slow = each.latest.slow - each.first.slow};
  }
  return sum;
}

run_counts version_rollout::OldHistory(std::string_view route) const {
  run_counts sum;
  for (const auto& [key, each] : sources_) {
    if (each.version == order_.target_version) continue;
    if (route.empty() || key.second == route) sum += each.latest;
  }
  return sum;
}

// The old version's rate is the worse of the rate over its whole history and
// the rate during the rollout. Thus neither a route that always fails nor a
// current problem that affects both versions counts against the new one.
bool version_rollout::IsWorse(std::string_view route) const {
  const run_counts new_counts = Sum(true, route);
  const run_counts old_counts = Sum(false, route);
  const run_counts history = OldHistory(route);
  if (!route.empty() && history.total < kMinOldRequests) return false;
  const double old_failed = std::max(Ratio(old_counts.failed, old_counts.total),
                                     Ratio(history.failed, history.total));
  const double old_slow = std::max(Ratio(old_counts.slow, old_counts.total),
                                   Ratio(history.slow, history.total));
  const double failed_limit = kFailedMultiple * old_failed + kFailedFloor;
  if (new_counts.failed >= kMinFailed &&
      Ratio(new_counts.failed, new_counts.total) > failed_limit) {
    return true;
  }
  const double slow_limit = kSlowMultiple * old_slow + kSlowFloor;
  return new_counts.slow >= kMinSlow &&
         Ratio(new_counts.slow, new_counts.total) > slow_limit;
}

bool version_rollout::Evaluate() {
  if (order_.state != rollout_state::kRunning) return false;
  const bool is_bad =
      IsWorse("") || std::ranges::any_of(routes_ | std::views::keys,
                                         [this](const std::string& route) {
                                           return IsWorse(route);
                                         });
  if (is_bad) order_.state = rollout_state::kRolledBack;
  return is_bad;
}

bool version_rollout::IsComplete(base::steady_instant now) const {
  return order_.state == rollout_state::kRunning &&
         ElapsedFraction(now) >= options_.done_at && Share(now) >= 1;
}

std::string version_rollout::Evidence() const {
  const run_counts new_counts = Sum(true, "");
  const run_counts old_counts = Sum(false, "");
  const auto text = [](const run_counts& counts) {
    return std::to_string(counts.failed) + "/" + std::to_string(counts.slow) +
           "/" + std::to_string(counts.total);
  };
  return "failed/slow/total requests: new version " + text(new_counts) +
         ", old version " + text(old_counts);
}

}  // namespace fireflyspar::decisions
