#include "decisions/move_tracker.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>
#include <utility>

#include "decisions/move_schedule.h"

namespace fireflyspar::decisions {
namespace {

// The upper bound on the probability that a good move is ever rolled back. Half
// of it is for the evaluators, which pool the reports of many nodes; the other
// half is divided among the nodes, each of which evaluates its own counts.
constexpr double kFalseAlarmBudget = 0.004;
constexpr double kHalf = 0.5;

// How long a node without an is_evaluator hook is an evaluator after it
// received a report.
constexpr base::duration kEvaluatorTime = std::chrono::seconds(5);

// How long the share stays capped after a suspicion was last renewed.
constexpr base::duration kShareCapDuration = std::chrono::milliseconds(1500);

constexpr int kPercent = 100;

}  // namespace

move_tracker::move_tracker(move_tracker_options options)
    : options_(std::move(options)) {}

void move_tracker::SetPolicy(const config::move_policy& policy) {
  options_.policy = policy;
}

void move_tracker::SetMoves(std::span<const move> moves, base::instant now) {
  const double pooled_budget = kFalseAlarmBudget * kHalf;
  const double local_budget =
      pooled_budget / std::max(options_.expected_nodes, 1);
  std::set<std::string, std::less<>> known;
  running_.clear();
  for (const move& received : moves) {
    known.insert(received.id);
    tracked_move& tracked =
        moves_.try_emplace(received.id, received, local_budget, pooled_budget)
            .first->second;
    tracked.value = decisions::Merge(tracked.value, received);
    RecordShareCap(tracked, now);
    // Two running moves of a service would shift the same calls, so the later
    // one waits until the outcome of the earlier one is final.
    if (tracked.value.is_final) continue;
    tracked.is_waiting =
        !running_.try_emplace(tracked.value.service, &tracked).second;
  }
  std::erase_if(
      moves_, [&](const auto& entry) { return !known.contains(entry.first); });
}

void move_tracker::Record(const call_outcome& outcome, base::instant now) {
  const auto found = running_.find(outcome.service);
  if (found == running_.end()) return;
  // The time of dispatch decides whether the call counts as made under a share
  // cap. With the time of the response, slow calls would be counted among calls
  // that were split between the versions at a different share.
  tracked_move& tracked = *found->second;
  tracked.evidence.Record(tracked.value, outcome,
                          WasShareCapped(tracked, now - outcome.latency));
}

void move_tracker::RecordShareCap(tracked_move& tracked, base::instant now) {
  constexpr std::size_t kMaxIntervals = 8;
  const base::instant until = tracked.value.share_capped_until;
  if (until <= now) return;
  if (!tracked.capped_intervals.empty() &&
      now <= tracked.capped_intervals.back().until) {
    tracked.capped_intervals.back().until =
        std::max(tracked.capped_intervals.back().until, until);
    return;
  }
  if (tracked.capped_intervals.size() == kMaxIntervals) {
    tracked.capped_intervals.pop_front();
  }
  tracked.capped_intervals.push_back({.from = now, .until = until});
}

bool move_tracker::WasShareCapped(const tracked_move& tracked,
                                  base::instant at) {
  return std::ranges::any_of(
      tracked.capped_intervals,
      [&](const interval& one) { return one.from <= at && at < one.until; });
}

void move_tracker::Merge(const evidence_report& report, base::instant now) {
  const auto found = moves_.find(report.move_id);
  if (found == moves_.end()) return;
  found->second.pooled_evaluator.Merge(report);
  found->second.report_received_at = now;
}

double move_tracker::MovedShare(const move& value, base::instant now) const {
  const auto found = moves_.find(value.id);
  if (found == moves_.end()) {
    return value.is_final && value.state == move_state::kDone ? 1 : 0;
  }
  return ShareOf(found->second, value, now);
}

double move_tracker::ShareOf(const tracked_move& tracked, const move& received,
                             base::instant now) const {
  // The received copy may be newer or older than the tracked one, so this
  // checks both. Merging them for each call would copy their strings.
  for (const move* known : {&received, &tracked.value}) {
    if (known->is_final) return known->state == move_state::kDone ? 1 : 0;
  }
  if (received.state != move_state::kRunning) return 0;
  if (tracked.value.state != move_state::kRunning || tracked.is_waiting) {
    return 0;
  }
  const share_limits limits{
      .proven_percent =
          std::max(received.proven_percent, tracked.value.proven_percent),
      .share_capped_until = std::max(
          {received.share_capped_until, tracked.value.share_capped_until})};
  return AllowedShare(tracked.value, options_.policy, limits, now);
}

move_effects move_tracker::Tick(base::instant now) {
  move_effects effects;
  for (auto& [service, tracked] : running_) {
    if (tracked->value.state != move_state::kRunning) continue;
    Report(*tracked, now, effects);
    Evaluate(*tracked, now, effects);
    RenewShareCap(*tracked, now, effects);
    Bake(*tracked, now, effects);
  }
  return effects;
}

bool move_tracker::IsEvaluator(const tracked_move& tracked,
                               base::instant now) const {
  if (options_.is_evaluator) return options_.is_evaluator(tracked.value.id);
  return tracked.report_received_at != base::instant{} &&
         now - tracked.report_received_at <= kEvaluatorTime;
}

void move_tracker::Report(tracked_move& tracked, base::instant now,
                          move_effects& effects) {
  evidence_report report{.move_id = tracked.value.id,
                         .node_id = options_.node_id,
                         .data_centre = options_.data_centre,
                         .incarnation = options_.incarnation,
                         .sequence = ++tracked.sequence,
                         .old_version = tracked.evidence.OldVersion(),
                         .new_version = tracked.evidence.NewVersion()};
  tracked.local_evaluator.Merge(report);
  if (tracked.evidence.Calls() == tracked.reported_calls) return;
  if (now - tracked.report_sent_at < options_.report_interval) return;
  tracked.reported_calls = tracked.evidence.Calls();
  tracked.report_sent_at = now;
  effects.reports_to_send.push_back(std::move(report));
}

void move_tracker::Evaluate(tracked_move& tracked, base::instant now,
                            move_effects& effects) {
  tracked.local_evaluator.Evaluate(tracked.value, options_.policy, now);
  tracked.pooled_evaluator.Evaluate(tracked.value, options_.policy, now);
  for (const move_evaluator* evaluator :
       {&tracked.pooled_evaluator, &tracked.local_evaluator}) {
    if (evaluator->RollbackReason().empty()) continue;
    tracked.value.state = move_state::kRolledBack;
    tracked.value.evidence = evaluator->RollbackReason();
    effects.rollbacks.push_back(tracked.value);
    return;
  }
  if (!IsEvaluator(tracked, now)) return;
  if (tracked.pooled_evaluator.ProvenPercent() <=
      tracked.value.proven_percent) {
    return;
  }
  tracked.value.proven_percent = tracked.pooled_evaluator.ProvenPercent();
  effects.updates.push_back(tracked.value);
}

void move_tracker::RenewShareCap(tracked_move& tracked, base::instant now,
                                 move_effects& effects) {
  if (tracked.value.state != move_state::kRunning) return;
  if (!IsEvaluator(tracked, now) || !tracked.pooled_evaluator.WantsShareCap()) {
    return;
  }
  // Renews the cap only after half of its time has passed, to send few
  // messages.
  if (tracked.value.share_capped_until - now > kShareCapDuration / 2) return;
  tracked.value.share_capped_until = now + kShareCapDuration;
  RecordShareCap(tracked, now);
  effects.updates.push_back(tracked.value);
}

void move_tracker::Bake(tracked_move& tracked, base::instant now,
                        move_effects& effects) {
  const bool is_full = tracked.value.state == move_state::kRunning &&
                       IsEvaluator(tracked, now) &&
                       tracked.value.proven_percent >= kPercent &&
                       now >= FullShareAt(tracked.value, options_.policy);
  if (!is_full) {
    tracked.full_since = {};
    return;
  }
  if (tracked.full_since == base::instant{}) tracked.full_since = now;
  // A suspicion does not restart the bake, because its cause may be a burst of
  // load shortly before the deadline. But this node does not declare its data
  // centre ready while the suspicion lasts.
  if (tracked.is_ready || now - tracked.full_since < options_.policy.bake) {
    return;
  }
  if (tracked.pooled_evaluator.IsSuspicious() ||
      now < tracked.value.share_capped_until) {
    return;
  }
  tracked.is_ready = true;
  effects.ready.push_back(tracked.value.id);
}

std::string move_tracker::Progress(const std::string& move_id,
                                   base::instant now) const {
  const auto found = moves_.find(move_id);
  if (found == moves_.end()) return {};
  const tracked_move& tracked = found->second;
  std::ostringstream text;
  text << "at " << std::lround(kPercent * ShareOf(tracked, tracked.value, now))
       << " percent, earned " << tracked.value.proven_percent << " percent";
  if (tracked.is_waiting) {
    text << ", waiting for an earlier move of the service";
  }
  const move_evaluator& evaluator = IsEvaluator(tracked, now)
                                        ? tracked.pooled_evaluator
                                        : tracked.local_evaluator;
  text << "; " << tracked.value.new_version << " had " << evaluator.NewCalls()
       << " calls, " << tracked.value.old_version << " had "
       << evaluator.OldCalls();
  if (evaluator.NewCalls() == 0) text << "; nothing is proven without calls";
  return text.str();
}

}  // namespace fireflyspar::decisions
