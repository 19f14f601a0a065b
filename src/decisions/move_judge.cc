#include "decisions/move_judge.h"

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

// A first report up to this one, about ten seconds into a node's run, still
// covers calls that were shared out alike.
constexpr std::uint64_t kYoungSequence = 40;

// What counts as worse: half a point more failures, or two and a half points
// more calls slower than the old version's 95th percentile. A version that is
// worse by less is not taken back.
constexpr sequential_test_options kFailureTest{
    .tolerance = 0.005,
    .excesses = {0.03, 0.1, 0.35, 0.95},
    .expected_rate = 0.005,
    .expected_weight = 50};
constexpr sequential_test_options kSlownessTest{
    .tolerance = 0.025,
    .excesses = {0.07, 0.15, 0.4, 0.9},
    .expected_rate = 0.05,
    .expected_weight = 50,
    .suspicious_excess = 0.25};

constexpr int kSymptoms = 2;  // Failing and being slow.

// The part of the budget that a stratum's tests may use. Routes are not known
// beforehand, so the parts are 1/2, 1/6, 1/12, ..., which add up to one
// however many there are.
double PartOfBudget(std::size_t stratum_index) {
  const auto i = static_cast<double>(stratum_index);
  return 1.0 / ((i + 1) * (i + 2) * kSymptoms);
}

// The evidence needed for each doubling of the share: 20 to 1.
const double kGrowthLog = std::log(20.0);

// The least excess that the growth rules out, where there are calls enough.
constexpr double kLeastFailureExcess = 0.03;
constexpr double kLeastSlownessExcess = 0.06;
constexpr double kGreatestExcess = 0.7;

double KullbackLeibler(double p, double q) {
  return p * std::log(p / q) + (1 - p) * std::log((1 - p) / (1 - q));
}

// The smallest excess over `rate` that `calls` calls of a good version are
// expected to rule out at kGrowthLog.
double ExcessRuledOutBy(double calls, double rate, double least) {
  constexpr double kStepFactor = 1.1;
  double excess = least;
  while (excess < kGreatestExcess && rate + excess < 1 &&
         calls * KullbackLeibler(rate, rate + excess) < kGrowthLog) {
    excess *= kStepFactor;
  }
  return std::min({excess, kGreatestExcess, 0.98 - rate});
}

// Calls to the new version that may be spent on each doubling of the share if
// the full share is to be reached in time. Doubling from c to the full share
// with m calls at each level takes about 2 m / (rate c).
double CallsPerLevel(double share, double calls_per_second,
                     std::chrono::duration<double> left) {
  constexpr double kSafety = 4;  // Twice the sum, and half for bad luck.
  return calls_per_second * share * left.count() / kSafety;
}

const stratum_counts* Find(const std::vector<stratum_counts>& counts,
                           const stratum_counts& like) {
  const auto found =
      std::ranges::find_if(counts, [&](const stratum_counts& one) {
        return one.route == like.route && one.was_cautious == like.was_cautious;
      });
  return found == counts.end() ? nullptr : &*found;
}

// What `later` has more than `earlier`; counts never fall within one run.
stratum_counts Increment(const stratum_counts& later,
                         const std::vector<stratum_counts>& earlier) {
  const stratum_counts* before = Find(earlier, later);
  if (before == nullptr) return later;
  const auto more = [](std::uint64_t now, std::uint64_t then) {
    return now > then ? now - then : 0;
  };
  return {.route = later.route,
          .was_cautious = later.was_cautious,
          .calls = more(later.calls, before->calls),
          .failures = more(later.failures, before->failures),
          .slow = more(later.slow, before->slow)};
}

bool IsComparable(const trial_block& block) {
  return block.old_calls > 0 && block.new_calls > 0;
}

std::string Sentence(const move& value, std::string_view route,
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
  const auto rest = static_cast<double>(block.new_calls - block.new_hits);
  const double bad_rate = old_rate + excess;
  log_ratio += hits * std::log(old_rate / bad_rate) +
               rest * std::log((1 - old_rate) / (1 - bad_rate));
  log_ratio = std::max(log_ratio, 0.0);
}

move_judge::move_judge(double false_alarm_budget)
    : budget_(false_alarm_budget) {
  StratumOf("");  // All routes together.
}

move_judge::stratum& move_judge::StratumOf(const std::string& route) {
  const auto found = std::ranges::find(strata_, route, &stratum::route);
  if (found != strata_.end()) return *found;
  strata_.push_back({.route = route,
                     .failures = {.test = sequential_test(kFailureTest)},
                     .slowness = {.test = sequential_test(kSlownessTest)}});
  return strata_.back();
}

void move_judge::Count(const stratum_counts& increment, bool is_new,
                       bool is_evidence) {
  if (increment.calls == 0) return;
  const auto add = [&](symptom& to, std::uint64_t hits) {
    (is_new ? to.new_hits : to.old_hits) += hits;
    if (!is_evidence) return;
    trial_block& pending = to.pending[increment.was_cautious ? 1 : 0];
    (is_new ? pending.new_calls : pending.old_calls) += increment.calls;
    (is_new ? pending.new_hits : pending.old_hits) += hits;
    if (!is_new) return;
    to.unwatched_calls += increment.calls;
    to.unwatched_hits += hits;
  };
  for (stratum* counted : {&strata_.front(), &StratumOf(increment.route)}) {
    (is_new ? counted->new_calls : counted->old_calls) += increment.calls;
    add(counted->failures, increment.failures);
    add(counted->slowness, increment.slow);
  }
}

void move_judge::Merge(const evidence_report& report) {
  const auto [entry, is_first] = reports_.try_emplace(report.node_id);
  heard& last = entry->second;
  if (report.incarnation < last.incarnation) return;
  if (report.incarnation > last.incarnation) {
    last = {.incarnation = report.incarnation};
  } else if (!is_first && report.sequence <= last.sequence) {
    return;
  }
  const bool is_evidence =
      last.sequence > 0 || report.sequence <= kYoungSequence;
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

void move_judge::Weigh(const move& value, const config::move_policy& policy,
                       base::instant now) {
  cleared_percent_ = std::max(cleared_percent_, value.cleared_percent);
  if (!fault_.empty()) return;
  const stratum& all = strata_.front();
  for (std::size_t i = 0; i < all.failures.pending.size(); ++i) {
    const trial_block& failures = all.failures.pending[i];
    if (!IsComparable(failures)) continue;
    Grow(failures, all.slowness.pending[i], value, policy, now);
  }
  for (std::size_t i = 0; i < strata_.size() && fault_.empty(); ++i) {
    WeighStratum(i, value);
  }
  Beware();
}

void move_judge::Beware() {
  constexpr std::uint64_t kMostCalls = 60;
  constexpr std::uint64_t kRestFactor = 5;
  const std::uint64_t calls = NewCalls();
  const bool is_suspicious = IsSuspicious();
  if (!is_cautious_) {
    is_cautious_ = is_suspicious && calls >= not_cautious_to_;
    cautious_from_ = calls;
    return;
  }
  const std::uint64_t spent = calls - cautious_from_;
  if (is_suspicious && spent < kMostCalls) return;
  is_cautious_ = false;
  not_cautious_to_ = calls + kRestFactor * spent;
}

void move_judge::WeighStratum(std::size_t index, const move& value) {
  stratum& weighed = strata_[index];
  WeighSymptom(weighed.failures, index, "failed", value);
  WeighSymptom(weighed.slowness, index, "was slow on", value);
}

void move_judge::WeighSymptom(symptom& of, std::size_t index,
                              std::string_view verb, const move& value) {
  of.test.Watch(std::exchange(of.unwatched_calls, 0),
                std::exchange(of.unwatched_hits, 0));
  for (trial_block& block : of.pending) {
    if (!IsComparable(block)) continue;
    of.test.Add(std::exchange(block, {}));
  }
  const double needed = -std::log(budget_ * PartOfBudget(index));
  if (of.test.LogEvidence() < needed || !fault_.empty()) return;
  const stratum& weighed = strata_[index];
  fault_ = Sentence(value, weighed.route, verb, of.new_hits, weighed.new_calls,
                    of.old_hits, weighed.old_calls);
}

void move_judge::Grow(const trial_block& failures, const trial_block& slowness,
                      const move& value, const config::move_policy& policy,
                      base::instant now) {
  constexpr int kWhole = 100;
  const stratum& all = strata_.front();
  if (cleared_percent_ >= kWhole || now <= value.start) return;

  const double percent = std::max<double>(
      cleared_percent_, std::max(policy.max_unproven_percent, 0.1));
  const std::chrono::duration<double> gone = now - value.start;
  const std::chrono::duration<double> left = std::max<base::duration>(
      FullShareAt(value, policy) - now, base::duration::zero());
  const double calls_per_second =
      static_cast<double>(all.old_calls + all.new_calls) / gone.count();
  const double calls = CallsPerLevel(percent / kWhole, calls_per_second, left);

  const auto add = [&](growth_evidence& to, const trial_block& block,
                       const sequential_test& test, double least) {
    const double rate = test.OldRate();
    to.Add(block, rate, ExcessRuledOutBy(calls, rate, least));
  };
  add(failure_growth_, failures, all.failures.test, kLeastFailureExcess);
  add(slowness_growth_, slowness, all.slowness.test, kLeastSlownessExcess);
  if (failure_growth_.log_ratio < kGrowthLog) return;
  if (slowness_growth_.log_ratio < kGrowthLog) return;
  failure_growth_ = {};
  slowness_growth_ = {};
  cleared_percent_ = std::min(
      kWhole,
      std::max(cleared_percent_ + 1, static_cast<int>(std::ceil(percent * 2))));
}

bool move_judge::IsSuspicious() const {
  return std::ranges::any_of(strata_, [](const stratum& one) {
    return one.failures.test.IsSuspicious() || one.slowness.test.IsSuspicious();
  });
}

}  // namespace fireflyspar::decisions
