#include "decisions/move_evaluator.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <sstream>
#include <string_view>
#include <utility>

#include "decisions/move_schedule.h"

namespace fireflyspar::decisions {
namespace {

// The greatest sequence number at which a node's first report counts as
// evidence. A node reaches it about ten seconds after it began to track the
// move; until then its calls are split between the versions at nearly the same
// share.
constexpr std::uint64_t kMaxInitialSequence = 40;

// The tolerances define when a version is worse: more than 0.5 percentage
// points more failures, or more than 2.5 points more calls above the old
// version's 95th latency percentile. A version that is worse by less is not
// rolled back.
constexpr sequential_test_options kFailureTest{
    .tolerance = 0.005,
    .excesses = {0.03, 0.1, 0.35, 0.95},
    .prior_rate = 0.005,
    .prior_calls = 50};
constexpr sequential_test_options kSlownessTest{
    .tolerance = 0.025,
    .excesses = {0.07, 0.15, 0.4, 0.9},
    .prior_rate = 0.05,
    .prior_calls = 50,
    .suspicious_excess = 0.25};

constexpr int kSymptoms = 2;  // Failed calls and slow calls.

// Returns the fraction of the false alarm budget for each of a stratum's tests.
// The number of routes is not known in advance, so the strata get 1/2, 1/6,
// 1/12, ..., whose sum never exceeds one. A stratum's symptoms share its
// fraction equally.
double BudgetFraction(std::size_t stratum_index) {
  const auto i = static_cast<double>(stratum_index);
  return 1.0 / ((i + 1) * (i + 2) * kSymptoms);
}

// The log likelihood ratio needed for each doubling of the share: 20 to 1.
const double kGrowthLog = std::log(20.0);

// The smallest excess over the old version's rate that must be ruled out before
// the share grows, if there are enough calls.
constexpr double kMinFailureExcess = 0.03;
constexpr double kMinSlownessExcess = 0.06;
// The greatest excess, used if there are very few calls.
constexpr double kMaxExcess = 0.7;

// Returns the Kullback-Leibler divergence between Bernoulli distributions with
// rates `p` and `q`.
double KullbackLeibler(double p, double q) {
  return p * std::log(p / q) + (1 - p) * std::log((1 - p) / (1 - q));
}

// Returns the smallest excess over `rate`, but at least the given minimum, that
// `calls` calls of a good version are expected to rule out at kGrowthLog.
double ExcessRuledOutBy(double calls, double rate, double min_excess) {
  constexpr double kStepFactor = 1.1;
  double excess = min_excess;
  while (excess < kMaxExcess && rate + excess < 1 &&
         calls * KullbackLeibler(rate, rate + excess) < kGrowthLog) {
    excess *= kStepFactor;
  }
  return std::min({excess, kMaxExcess, 0.98 - rate});
}

// Returns how many calls to the new version each doubling of the share may take
// if the full share is to be reached within `remaining`. Doubling from share c
// to the full share with m calls at each level takes about 2 m / (rate c).
double CallsPerLevel(double share, double calls_per_second,
                     std::chrono::duration<double> remaining) {
  constexpr double kSafety = 4;  // 2 from the formula, times 2 for bad luck.
  return calls_per_second * share * remaining.count() / kSafety;
}

// Returns the element with the route and cap state of `key`, or null.
const stratum_counts* FindCounts(const std::vector<stratum_counts>& counts,
                                 const stratum_counts& key) {
  const auto found =
      std::ranges::find_if(counts, [&](const stratum_counts& one) {
        return one.route == key.route &&
               one.was_share_capped == key.was_share_capped;
      });
  return found == counts.end() ? nullptr : &*found;
}

// Returns the difference between `later` and its counterpart in `earlier`.
// Counts never fall within one incarnation of a node.
stratum_counts Increment(const stratum_counts& later,
                         const std::vector<stratum_counts>& earlier) {
  const stratum_counts* before = FindCounts(earlier, later);
  if (before == nullptr) return later;
  const auto subtract = [](std::uint64_t now, std::uint64_t then) {
    return now > then ? now - then : 0;
  };
  return {.route = later.route,
          .was_share_capped = later.was_share_capped,
          .calls = subtract(later.calls, before->calls),
          .failures = subtract(later.failures, before->failures),
          .slow = subtract(later.slow, before->slow)};
}

bool IsComparable(const trial_block& block) {
  return block.old_calls > 0 && block.new_calls > 0;
}

// Returns the evidence of a rollback as one sentence.
std::string DescribeEvidence(const move& value, std::string_view route,
                             std::string_view verb, std::uint64_t new_hits,
                             std::uint64_t new_calls, std::uint64_t old_hits,
                             std::uint64_t old_calls) {
  std::ostringstream text;
  text << value.new_version << ' ' << verb << ' ' << new_hits << " of "
       << new_calls << " calls";
  if (!route.empty()) text << " on route " << route;
  text << ", " << value.old_version << ' ' << old_hits << " of " << old_calls
       << " over the same time";
  return text.str();
}

}  // namespace

void growth_evidence::Add(const trial_block& block, double old_rate,
                          double excess) {
  const auto hits = static_cast<double>(block.new_hits);
  const auto misses = static_cast<double>(block.new_calls - block.new_hits);
  const double bad_rate = old_rate + excess;
  log_ratio += hits * std::log(old_rate / bad_rate) +
               misses * std::log((1 - old_rate) / (1 - bad_rate));
  log_ratio = std::max(log_ratio, 0.0);
}

move_evaluator::move_evaluator(double false_alarm_budget)
    : budget_(false_alarm_budget) {
  StratumOf("");  // The first stratum: all routes together.
}

move_evaluator::stratum& move_evaluator::StratumOf(const std::string& route) {
  const auto found = std::ranges::find(strata_, route, &stratum::route);
  if (found != strata_.end()) return *found;
  strata_.push_back({.route = route,
                     .failures = {.test = sequential_test(kFailureTest)},
                     .slowness = {.test = sequential_test(kSlownessTest)}});
  return strata_.back();
}

void move_evaluator::Count(const stratum_counts& increment, bool is_new,
                           bool is_evidence) {
  if (increment.calls == 0) return;
  const auto add = [&](symptom& to, std::uint64_t hits) {
    (is_new ? to.new_hits : to.old_hits) += hits;
    if (!is_evidence) return;
    trial_block& pending = to.pending[increment.was_share_capped ? 1 : 0];
    (is_new ? pending.new_calls : pending.old_calls) += increment.calls;
    (is_new ? pending.new_hits : pending.old_hits) += hits;
    if (!is_new) return;
    to.pending_cusum_calls += increment.calls;
    to.pending_cusum_hits += hits;
  };
  for (stratum* counted : {&strata_.front(), &StratumOf(increment.route)}) {
    (is_new ? counted->new_calls : counted->old_calls) += increment.calls;
    add(counted->failures, increment.failures);
    add(counted->slowness, increment.slow);
  }
}

void move_evaluator::Merge(const evidence_report& report) {
  const auto [entry, is_first] = reports_.try_emplace(report.node_id);
  last_report& last = entry->second;
  if (report.incarnation < last.incarnation) return;
  if (report.incarnation > last.incarnation) {
    last = {.incarnation = report.incarnation};
  } else if (!is_first && report.sequence <= last.sequence) {
    return;
  }
  const bool is_evidence =
      last.sequence > 0 || report.sequence <= kMaxInitialSequence;
  for (const stratum_counts& counts : report.old_version) {
    Count(Increment(counts, last.old_version), false, is_evidence);
  }
  for (const stratum_counts& counts : report.new_version) {
    Count(Increment(counts, last.new_version), true, is_evidence);
  }
  last.sequence = report.sequence;
  last.old_version = report.old_version;
  last.new_version = report.new_version;
}

void move_evaluator::Evaluate(const move& value,
                              const config::move_policy& policy,
                              base::instant now) {
  proven_percent_ = std::max(proven_percent_, value.proven_percent);
  if (!rollback_reason_.empty()) return;
  const stratum& all = strata_.front();
  for (std::size_t i = 0; i < all.failures.pending.size(); ++i) {
    const trial_block& failures = all.failures.pending[i];
    if (!IsComparable(failures)) continue;
    RaiseProvenPercent(failures, all.slowness.pending[i], value, policy, now);
  }
  for (std::size_t i = 0; i < strata_.size() && rollback_reason_.empty(); ++i) {
    EvaluateStratum(i, value);
  }
  UpdateShareCap();
}

void move_evaluator::UpdateShareCap() {
  constexpr std::uint64_t kMaxCappedCalls = 60;
  constexpr std::uint64_t kCooldownFactor = 5;
  const std::uint64_t calls = NewCalls();
  const bool is_suspicious = IsSuspicious();
  if (!wants_share_cap_) {
    wants_share_cap_ = is_suspicious && calls >= share_cap_cooldown_end_call_;
    share_cap_start_call_ = calls;
    return;
  }
  const std::uint64_t spent = calls - share_cap_start_call_;
  if (is_suspicious && spent < kMaxCappedCalls) return;
  wants_share_cap_ = false;
  share_cap_cooldown_end_call_ = calls + kCooldownFactor * spent;
}

void move_evaluator::EvaluateStratum(std::size_t index, const move& value) {
  stratum& evaluated = strata_[index];
  EvaluateSymptom(evaluated.failures, index, "failed", value);
  EvaluateSymptom(evaluated.slowness, index, "was slow on", value);
}

void move_evaluator::EvaluateSymptom(symptom& observed, std::size_t index,
                                     std::string_view verb, const move& value) {
  observed.test.UpdateCusum(std::exchange(observed.pending_cusum_calls, 0),
                            std::exchange(observed.pending_cusum_hits, 0));
  for (trial_block& block : observed.pending) {
    if (!IsComparable(block)) continue;
    observed.test.Add(std::exchange(block, {}));
  }
  const double threshold = -std::log(budget_ * BudgetFraction(index));
  if (observed.test.LogEvidence() < threshold || !rollback_reason_.empty()) {
    return;
  }
  const stratum& evaluated = strata_[index];
  rollback_reason_ = DescribeEvidence(value, evaluated.route, verb,
                                      observed.new_hits, evaluated.new_calls,
                                      observed.old_hits, evaluated.old_calls);
}

void move_evaluator::RaiseProvenPercent(const trial_block& failures,
                                        const trial_block& slowness,
                                        const move& value,
                                        const config::move_policy& policy,
                                        base::instant now) {
  constexpr int kFullPercent = 100;
  const stratum& all = strata_.front();
  if (proven_percent_ >= kFullPercent || now <= value.start) return;

  const double percent = std::max<double>(
      proven_percent_, std::max(policy.max_unproven_percent, 0.1));
  const std::chrono::duration<double> elapsed = now - value.start;
  const std::chrono::duration<double> remaining = std::max<base::duration>(
      FullShareAt(value, policy) - now, base::duration::zero());
  const double calls_per_second =
      static_cast<double>(all.old_calls + all.new_calls) / elapsed.count();
  const double calls =
      CallsPerLevel(percent / kFullPercent, calls_per_second, remaining);

  const auto add = [&](growth_evidence& to, const trial_block& block,
                       const sequential_test& test, double min_excess) {
    const double rate = test.OldRate();
    to.Add(block, rate, ExcessRuledOutBy(calls, rate, min_excess));
  };
  add(failure_growth_, failures, all.failures.test, kMinFailureExcess);
  add(slowness_growth_, slowness, all.slowness.test, kMinSlownessExcess);
  if (failure_growth_.log_ratio < kGrowthLog) return;
  if (slowness_growth_.log_ratio < kGrowthLog) return;
  failure_growth_ = {};
  slowness_growth_ = {};
  proven_percent_ = std::min(
      kFullPercent,
      std::max(proven_percent_ + 1, static_cast<int>(std::ceil(percent * 2))));
}

bool move_evaluator::IsSuspicious() const {
  return std::ranges::any_of(strata_, [](const stratum& one) {
    return one.failures.test.IsSuspicious() || one.slowness.test.IsSuspicious();
  });
}

}  // namespace fireflyspar::decisions
