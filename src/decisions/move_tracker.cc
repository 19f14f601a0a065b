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

// How long a node without an is_judge hook is an evaluator after it received a
// report.
constexpr base::duration kJudgeFor = std::chrono::seconds(5);

// How long the share stays capped after a suspicion was last renewed.
constexpr base::duration kCautionFor = std::chrono::milliseconds(1500);

constexpr int kPercent = 100;

}  // namespace

move_tracker::move_tracker(move_tracker_options options)
    : options_(std::move(options)) {}

void move_tracker::SetPolicy(const config::move_policy& policy) {
  options_.policy = policy;
}

void move_tracker::SetMoves(std::span<const move> moves, base::instant now) {
  const double pooled_budget = kFalseAlarmBudget * kHalf;
  const double own_budget =
      pooled_budget / std::max(options_.expected_nodes, 1);
  std::set<std::string, std::less<>> known;
  running_.clear();
  for (const move& heard : moves) {
    known.insert(heard.id);
    tracked& of = moves_.try_emplace(heard.id, heard, own_budget, pooled_budget)
                      .first->second;
    of.value = decisions::Merge(of.value, heard);
    NoteCaution(of, now);
    // Two running moves of a service would shift the same calls, so the later
    // one waits until the outcome of the earlier one is final.
    if (of.value.is_final) continue;
    of.is_waiting = !running_.try_emplace(of.value.service, &of).second;
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
  tracked& of = *found->second;
  of.evidence.Record(of.value, outcome, WasCautious(of, now - outcome.latency));
}

void move_tracker::NoteCaution(tracked& of, base::instant now) {
  constexpr std::size_t kMaxIntervals = 8;
  const base::instant until = of.value.cautious_until;
  if (until <= now) return;
  if (!of.cautious.empty() && now <= of.cautious.back().until) {
    of.cautious.back().until = std::max(of.cautious.back().until, until);
    return;
  }
  if (of.cautious.size() == kMaxIntervals) of.cautious.pop_front();
  of.cautious.push_back({.from = now, .until = until});
}

bool move_tracker::WasCautious(const tracked& of, base::instant at) {
  return std::ranges::any_of(of.cautious, [&](const stretch& one) {
    return one.from <= at && at < one.until;
  });
}

void move_tracker::Merge(const evidence_report& report, base::instant now) {
  const auto found = moves_.find(report.move_id);
  if (found == moves_.end()) return;
  found->second.pooled.Merge(report);
  found->second.heard_at = now;
}

double move_tracker::MovedShare(const move& value, base::instant now) const {
  const auto found = moves_.find(value.id);
  if (found == moves_.end()) {
    return value.is_final && value.state == move_state::kDone ? 1 : 0;
  }
  return ShareOf(found->second, value, now);
}

double move_tracker::ShareOf(const tracked& of, const move& heard,
                             base::instant now) const {
  // The received copy may be newer or older than the tracked one, so this
  // checks both. Merging them for each call would copy their strings.
  for (const move* known : {&heard, &of.value}) {
    if (known->is_final) return known->state == move_state::kDone ? 1 : 0;
  }
  if (heard.state != move_state::kRunning) return 0;
  if (of.value.state != move_state::kRunning || of.is_waiting) return 0;
  const earned_share earned{
      .cleared_percent =
          std::max(heard.cleared_percent, of.value.cleared_percent),
      .cautious_until =
          std::max({heard.cautious_until, of.value.cautious_until})};
  return AllowedShare(of.value, options_.policy, earned, now);
}

move_effects move_tracker::Tick(base::instant now) {
  move_effects effects;
  for (auto& [service, of] : running_) {
    if (of->value.state != move_state::kRunning) continue;
    Report(*of, now, effects);
    Judge(*of, now, effects);
    Suspect(*of, now, effects);
    Bake(*of, now, effects);
  }
  return effects;
}

bool move_tracker::IsJudge(const tracked& of, base::instant now) const {
  if (options_.is_judge) return options_.is_judge(of.value.id);
  return of.heard_at != base::instant{} && now - of.heard_at <= kJudgeFor;
}

void move_tracker::Report(tracked& of, base::instant now,
                          move_effects& effects) {
  evidence_report report{.move_id = of.value.id,
                         .node_id = options_.node_id,
                         .data_centre = options_.data_centre,
                         .incarnation = options_.incarnation,
                         .sequence = ++of.sequence,
                         .old_version = of.evidence.OldVersion(),
                         .new_version = of.evidence.NewVersion()};
  of.own.Merge(report);
  if (of.evidence.Calls() == of.reported_calls) return;
  if (now - of.reported_at < options_.report_interval) return;
  of.reported_calls = of.evidence.Calls();
  of.reported_at = now;
  effects.reports_to_send.push_back(std::move(report));
}

void move_tracker::Judge(tracked& of, base::instant now,
                         move_effects& effects) {
  of.own.Weigh(of.value, options_.policy, now);
  of.pooled.Weigh(of.value, options_.policy, now);
  for (const move_judge* judge : {&of.pooled, &of.own}) {
    if (judge->Fault().empty()) continue;
    of.value.state = move_state::kTakenBack;
    of.value.evidence = judge->Fault();
    effects.verdicts.push_back(of.value);
    return;
  }
  if (!IsJudge(of, now)) return;
  if (of.pooled.ClearedPercent() <= of.value.cleared_percent) return;
  of.value.cleared_percent = of.pooled.ClearedPercent();
  effects.updates.push_back(of.value);
}

void move_tracker::Suspect(tracked& of, base::instant now,
                           move_effects& effects) {
  if (of.value.state != move_state::kRunning) return;
  if (!IsJudge(of, now) || !of.pooled.WantsCaution()) return;
  // Renews the cap only after half of its time has passed, to send few
  // messages.
  if (of.value.cautious_until - now > kCautionFor / 2) return;
  of.value.cautious_until = now + kCautionFor;
  NoteCaution(of, now);
  effects.updates.push_back(of.value);
}

void move_tracker::Bake(tracked& of, base::instant now, move_effects& effects) {
  const bool is_full = of.value.state == move_state::kRunning &&
                       IsJudge(of, now) &&
                       of.value.cleared_percent >= kPercent &&
                       now >= FullShareAt(of.value, options_.policy);
  if (!is_full) {
    of.full_since = {};
    return;
  }
  if (of.full_since == base::instant{}) of.full_since = now;
  // A suspicion does not restart the bake, because its cause may be a burst of
  // load shortly before the deadline. But this node does not declare its data
  // centre ready while the suspicion lasts.
  if (of.is_ready || now - of.full_since < options_.policy.bake) return;
  if (of.pooled.IsSuspicious() || now < of.value.cautious_until) return;
  of.is_ready = true;
  effects.ready.push_back(of.value.id);
}

std::string move_tracker::Progress(const std::string& move_id,
                                   base::instant now) const {
  const auto found = moves_.find(move_id);
  if (found == moves_.end()) return {};
  const tracked& of = found->second;
  std::ostringstream text;
  text << "at " << std::lround(kPercent * ShareOf(of, of.value, now))
       << " percent, earned " << of.value.cleared_percent << " percent";
  if (of.is_waiting) text << ", waiting for an earlier move of the service";
  const move_judge& judge = IsJudge(of, now) ? of.pooled : of.own;
  text << "; " << of.value.new_version << " had " << judge.NewCalls()
       << " calls, " << of.value.old_version << " had " << judge.OldCalls();
  if (judge.NewCalls() == 0) text << "; nothing is proven without calls";
  return text.str();
}

}  // namespace fireflyspar::decisions
