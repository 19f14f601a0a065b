#include "decisions/balancer.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace fireflyspar::decisions {
namespace {

// Weight of one answer in the smoothed latency.
constexpr double kSmoothing = 0.125;

// Calls per slot from which a server in this data centre is no longer preferred
// to those in others: a call to it would have to wait, which makes the longer
// way to another data centre worth it.
constexpr double kSpillCallsPerSlot = 1.0;

// How long a server counts as full after it shed a call.
constexpr base::duration kFullAfterShed = std::chrono::milliseconds(100);

std::size_t Draw(const base::random_hook& random, std::size_t count) {
  return static_cast<std::size_t>(random() % count);
}

}  // namespace

balancer::balancer(balancer_options options) : options_(options) {}

balancer::server& balancer::GetOrAdd(std::string_view id) {
  const auto found = servers_.find(id);
  if (found != servers_.end()) return found->second;
  return servers_.emplace(std::string(id), server{}).first->second;
}

const balancer::server* balancer::Find(std::string_view id) const {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : &found->second;
}

// Returns the calls per slot, multiplied by the latency if `weighs_latency`: a
// server that takes twice as long finishes its calls half as fast.
double balancer::LoadScore(const server_candidate& candidate,
                           bool weighs_latency, base::instant now) const {
  const server* known = Find(candidate.id);
  const double slots = std::max(1, candidate.slots);
  if (known == nullptr) return 1 / slots;
  const bool fresh = now - known->gate_reported_at < options_.gate_load_ttl;
  const int busy = std::max(known->in_flight, fresh ? known->gate_load : 0);
  constexpr double kFullScore = 1e12;
  const double full = now < known->shed_until ? kFullScore : 0;
  const double weight = weighs_latency ? known->latency : 1;
  return (busy + 1) / slots * weight + full;
}

// Compares latencies only if both are known. A server that has not answered yet
// has none; if it counted as zero, all calls would go to a new server until its
// first answer.
bool balancer::IsLess(const server_candidate& left,
                      const server_candidate& right, base::instant now) const {
  const auto has_latency = [this](const server_candidate& candidate) {
    const server* known = Find(candidate.id);
    return known != nullptr && known->latency > 0;
  };
  const bool weighs_latency = has_latency(left) && has_latency(right);
  return LoadScore(left, weighs_latency, now) <
         LoadScore(right, weighs_latency, now);
}

std::optional<std::size_t> balancer::Choose(
    std::span<const server_candidate> candidates,
    std::span<const std::string> avoided, const base::random_hook& random,
    base::instant now) {
  if (candidates.empty()) return std::nullopt;
  const auto is_avoided = [&](std::size_t index) {
    return std::ranges::find(avoided, candidates[index].id) != avoided.end();
  };
  const auto is_ejected = [&](std::size_t index) {
    const server* known = Find(candidates[index].id);
    return known != nullptr && now < known->ejected_until;
  };
  const auto has_free_slot = [&](std::size_t index) {
    const server* known = Find(candidates[index].id);
    if (known == nullptr) return true;
    const bool fresh = now - known->gate_reported_at < options_.gate_load_ttl;
    const int busy = std::max(known->in_flight, fresh ? known->gate_load : 0);
    return now >= known->shed_until &&
           busy < kSpillCallsPerSlot * std::max(1, candidates[index].slots);
  };

  std::vector<std::size_t> all(candidates.size());
  std::ranges::generate(all,
                        [index = std::size_t{0}]() mutable { return index++; });
  std::vector<std::size_t> pool;
  std::ranges::remove_copy_if(all, std::back_inserter(pool), is_ejected);
  const double min_pool_size =
      options_.min_remaining_share * static_cast<double>(all.size());
  if (static_cast<double>(pool.size()) < min_pool_size) pool = all;

  std::vector<std::size_t> untried;
  std::ranges::remove_copy_if(pool, std::back_inserter(untried), is_avoided);
  if (untried.empty()) {
    std::ranges::remove_copy_if(all, std::back_inserter(untried), is_avoided);
  }
  if (!untried.empty()) pool = std::move(untried);

  std::vector<std::size_t> near;
  std::ranges::copy_if(pool, std::back_inserter(near), [&](std::size_t index) {
    return candidates[index].is_near && has_free_slot(index);
  });
  if (!near.empty()) pool = std::move(near);

  const std::size_t first = pool[Draw(random, pool.size())];
  if (pool.size() == 1) return first;
  std::size_t second = first;
  while (second == first) second = pool[Draw(random, pool.size())];
  return IsLess(candidates[second], candidates[first], now) ? second : first;
}

void balancer::OnDispatch(std::string_view id, base::instant now) {
  server& used = GetOrAdd(id);
  ++used.in_flight;
  used.last_used = now;
}

void balancer::Eject(server& failing, base::instant now) const {
  const auto ejection =
      options_.first_ejection * (1 << failing.ejections_in_row);
  failing.ejected_until =
      now + std::min<base::duration>(ejection, options_.longest_ejection);
  constexpr int kMaxDoublings = 10;
  failing.ejections_in_row =
      std::min(failing.ejections_in_row + 1, kMaxDoublings);
  failing.failures_in_row = 0;
}

void balancer::OnEnd(std::string_view id, call_ending ending,
                     base::duration latency, base::instant now) {
  server& used = GetOrAdd(id);
  used.in_flight = std::max(0, used.in_flight - 1);
  used.last_used = now;
  switch (ending) {
    case call_ending::kGood: {
      const auto latest = static_cast<double>(latency.count());
      used.latency +=
          used.latency == 0 ? latest : (latest - used.latency) * kSmoothing;
      used.failures_in_row = 0;
      used.ejections_in_row = 0;
      break;
    }
    case call_ending::kFailed:
      if (++used.failures_in_row >= options_.failures_to_eject) {
        Eject(used, now);
      }
      break;
    case call_ending::kShed:
      used.shed_until = now + kFullAfterShed;
      break;
    case call_ending::kCancelled:
      break;
  }
}

void balancer::OnGateLoad(std::string_view id, int busy, base::instant now) {
  server& reported = GetOrAdd(id);
  reported.gate_load = busy;
  reported.gate_reported_at = now;
}

void balancer::Prune(base::instant now) {
  std::erase_if(servers_, [&](const auto& entry) {
    return entry.second.in_flight == 0 &&
           now - entry.second.last_used > options_.unused_server_ttl;
  });
}

}  // namespace fireflyspar::decisions
