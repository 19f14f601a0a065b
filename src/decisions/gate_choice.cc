#include "decisions/gate_choice.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace fireflyspar::decisions {
namespace {

// Extra time of a server whose slots are all taken, relative to its time with
// free slots.
constexpr double kFullServerCost = 0.3;

// Costs added for a gate that is closed and for one that is unreachable. They
// exceed every other cost, so that such a gate is chosen only if there is no
// other; such gates are still ordered by their other costs.
constexpr double kClosedCost = 1e9;
constexpr double kUnreachableCost = 1e12;

constexpr double kMicrosecondsPerSecond = 1e6;

double Microseconds(base::duration span) {
  return static_cast<double>(span.count());
}

// Returns how many requests a server with this many slots runs at once at most.
// Under a limit on requests a second it is what the limit allows in the time of
// one request, `time` in microseconds.
double UsableSlots(int slots, const gate_report& report, double time) {
  double usable = std::max(1, slots);
  for (const double limit : {report.requests_per_second, report.cold_limit}) {
    if (limit <= 0) continue;
    usable = std::min(usable, limit * time / kMicrosecondsPerSecond);
  }
  return usable;
}

// Returns the time in microseconds until a body of this size, sent now, has
// crossed the gate's link behind those that are ahead of it. `age` is the time
// since the report, in microseconds.
double TransferTime(const gate_report& report, std::uint64_t sent_since_report,
                    double age, std::uint64_t body_bytes) {
  if (body_bytes == 0 || report.bytes_per_second <= 0) return 0;
  const double moved = report.bytes_per_second * age / kMicrosecondsPerSecond;
  const double backlog =
      std::max(0.0, static_cast<double>(report.body_backlog) - moved);
  const double ahead = backlog + static_cast<double>(sent_since_report);
  return (ahead + static_cast<double>(body_bytes)) / report.bytes_per_second *
         kMicrosecondsPerSecond;
}

}  // namespace

gate_choice::estimate gate_choice::Estimate(const gate_candidate& candidate,
                                            const gate_state* known,
                                            const choice_request& request,
                                            base::steady_instant now) const {
  const double base_time =
      std::max(1.0, Microseconds(request.typical_duration));
  const double far = candidate.is_near ? 0 : options_.distance_cost * base_time;
  if (known == nullptr) return {.cost = base_time + far};
  const gate_report& report = known->report;
  const double time = base_time * report.latency_ratio;
  const double slots = UsableSlots(candidate.slots, report, time);
  // The load at the time of the report is assumed to fall exponentially, with
  // the time at the server as its time constant.
  const double age = Microseconds(
      std::chrono::duration_cast<base::duration>(now - known->reported_at));
  const double remaining_share = std::exp(-age / time);
  const double queued = report.waiting * remaining_share;
  const double busy = std::max<double>(
      report.running * remaining_share + queued + known->sent_since_report,
      known->in_flight);
  const double excess = std::max(0.0, busy + 1 - slots);
  const double utilization = std::min(1.0, busy / slots);
  double cost = excess * time / slots;
  cost += time * (1 + kFullServerCost * utilization * utilization);
  cost += far;
  cost += TransferTime(report, known->bytes_sent_since_report, age,
                       request.body_bytes);
  cost += options_.failure_cost * base_time * report.failure_rate;
  if (now < known->closed_until) cost += kClosedCost;
  if (known->is_unreachable) cost += kUnreachableCost;
  return {.cost = cost, .is_free = excess < 1};
}

std::optional<chosen_gate> gate_choice::Choose(
    std::span<const gate_candidate> candidates, const choice_request& request,
    const base::random_hook& random, base::steady_instant now) const {
  std::vector<std::size_t> indices(candidates.size());
  std::iota(indices.begin(), indices.end(), 0);
  const auto far = std::ranges::partition(
      indices, [&](std::size_t each) { return candidates[each].is_near; });
  const std::span<std::size_t> near_ones(indices.begin(), far.begin());
  comparison made{.candidates = candidates, .request = request, .now = now};
  Compare(made, near_ones, options_.compared_near, random);
  Compare(made, far, options_.compared_near + options_.compared_far, random);
  if (made.best) made.best->is_any_expected_free = made.is_any_free;
  return made.best;
}

void gate_choice::Compare(comparison& search, std::span<std::size_t> drawn_from,
                          int max_compared,
                          const base::random_hook& random) const {
  for (std::size_t i = 0; i < drawn_from.size(); ++i) {
    if (search.compared >= max_compared) return;
    const std::size_t drawn = i + random() % (drawn_from.size() - i);
    std::swap(drawn_from[i], drawn_from[drawn]);
    CompareOne(search, drawn_from[i], random);
  }
}

void gate_choice::CompareOne(comparison& search, std::size_t index,
                             const base::random_hook& random) const {
  const gate_candidate& candidate = search.candidates[index];
  const auto found = gates_.find(candidate.instance);
  const gate_state* known = found == gates_.end() ? nullptr : &found->second;
  const estimate made = Estimate(candidate, known, search.request, search.now);
  if (made.cost < kClosedCost) {
    ++search.compared;
    search.is_any_free = search.is_any_free || made.is_free;
  }
  const double cost =
      made.cost * (1 + options_.jitter * base::ToUnitInterval(random()));
  if (search.best && cost >= search.lowest_cost) return;
  search.lowest_cost = cost;
  search.best = {.index = index, .is_expected_free = made.is_free};
}

void gate_choice::OnSend(std::string_view instance, std::uint64_t body_bytes) {
  gate_state& gate = gates_[std::string(instance)];
  ++gate.sent_since_report;
  gate.bytes_sent_since_report += body_bytes;
  ++gate.in_flight;
}

void gate_choice::OnEnd(std::string_view instance) {
  gate_state& gate = gates_[std::string(instance)];
  gate.in_flight = std::max(0, gate.in_flight - 1);
}

void gate_choice::OnReport(std::string_view instance, const gate_report& report,
                           base::steady_instant now) {
  gate_state& gate = gates_[std::string(instance)];
  gate.report = report;
  gate.reported_at = now;
  gate.sent_since_report = 0;
  gate.bytes_sent_since_report = 0;
  OnReachable(instance);
}

void gate_choice::OnClosed(std::string_view instance, base::duration avoid,
                           base::steady_instant now) {
  gates_[std::string(instance)].closed_until = now + avoid;
}

void gate_choice::OnUnreachable(std::string_view instance) {
  gates_[std::string(instance)].is_unreachable = true;
}

void gate_choice::OnReachable(std::string_view instance) {
  gates_[std::string(instance)].is_unreachable = false;
}

void gate_choice::Forget(std::string_view instance) {
  const auto found = gates_.find(instance);
  if (found != gates_.end()) gates_.erase(found);
}

}  // namespace fireflyspar::decisions
