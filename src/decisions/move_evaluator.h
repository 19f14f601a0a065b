// Evaluates one move from the cumulative reports of many nodes. It answers two
// questions: whether the new version is worse than the old one, in which case
// the move is rolled back, and how large a share of calls the evidence
// justifies for the new version.
//
// A node's newer report, by (incarnation, sequence), replaces its older one, so
// lost, repeated and reordered reports do no harm. Counts from earlier
// incarnations of a node are kept. For an evaluator that starts late, the first
// report of each node is only a baseline: the calls in it were split between
// the versions at shares that varied over time, so their sums can't be
// compared. They are included in the totals but not in the evidence.
#ifndef FIREFLYSPAR_DECISIONS_MOVE_EVALUATOR_H_
#define FIREFLYSPAR_DECISIONS_MOVE_EVALUATOR_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/hooks.h"
#include "config/preset.h"
#include "decisions/evidence_report.h"
#include "decisions/move.h"
#include "decisions/sequential_test.h"

namespace fireflyspar::decisions {

// The evidence for raising the new version's share: the likelihood ratio of its
// calls between a version as good as the old one and a version whose hit rate
// is higher by `excess`. The logarithm never falls below zero, so a bad period
// only delays the raise and does not rule it out.
struct growth_evidence {
  double log_ratio = 0;

  void Add(const trial_block& block, double old_rate, double excess);
};

class move_evaluator {
 public:
  // `false_alarm_budget` is the upper bound on the probability that this
  // evaluator ever rolls back a version that is no worse than the old one.
  explicit move_evaluator(double false_alarm_budget);

  // Counts what the report adds to the last one of its node.
  void Merge(const evidence_report& report);

  // Evaluates the counts merged since the last call and raises ProvenPercent
  // when the evidence allows. Called a few times a second.
  void Evaluate(const move& value, const config::move_policy& policy,
                base::instant now);

  // Returns the reason for the rollback in one sentence once the new version is
  // proven to be worse, and an empty string before that.
  const std::string& RollbackReason() const { return rollback_reason_; }

  // Returns the share of calls that the evidence justifies for the new version,
  // in whole percent.
  int ProvenPercent() const { return proven_percent_; }

  // Returns whether the new version's recent results on some route are
  // unusually bad compared with the old version's average rate over its last
  // calls.
  bool IsSuspicious() const;

  // Returns whether the share should be capped now, so that the versions can be
  // compared well. The cap lasts only for a bounded number of calls after a
  // suspicion arises, and a cooldown of a multiple of these calls follows: a
  // fault that shows only under load disappears while the share is capped, and
  // could otherwise never be proven.
  bool WantsShareCap() const { return wants_share_cap_; }

  // The numbers of calls counted so far.
  std::uint64_t OldCalls() const { return strata_.front().old_calls; }
  std::uint64_t NewCalls() const { return strata_.front().new_calls; }

 private:
  // The counts and the test of a stratum for one of the two symptoms, failed
  // calls and slow calls.
  struct symptom {
    sequential_test test;
    // Calls not evaluated yet: [0] dispatched at an uncapped share, [1] at a
    // capped share.
    std::array<trial_block, 2> pending;
    // Calls of the new version that are not in the cumulative sum yet.
    std::uint64_t pending_cusum_calls = 0;
    std::uint64_t pending_cusum_hits = 0;
    std::uint64_t old_hits = 0;
    std::uint64_t new_hits = 0;
  };
  // The counts of one route, or of all routes together.
  struct stratum {
    std::string route;  // Empty for all routes together.
    symptom failures;
    symptom slowness;
    std::uint64_t old_calls = 0;
    std::uint64_t new_calls = 0;
  };
  // The last report received from a node.
  struct last_report {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::vector<stratum_counts> old_version;
    std::vector<stratum_counts> new_version;
  };

  stratum& StratumOf(const std::string& route);
  // Adds the increment to the totals and, if `is_evidence`, to the pending
  // blocks of its route and of all routes together.
  void Count(const stratum_counts& increment, bool is_new, bool is_evidence);
  void EvaluateStratum(std::size_t index, const move& value);
  void EvaluateSymptom(symptom& observed, std::size_t index,
                       std::string_view verb, const move& value);
  void UpdateShareCap();
  void RaiseProvenPercent(const trial_block& failures,
                          const trial_block& slowness, const move& value,
                          const config::move_policy& policy, base::instant now);

  double budget_;
  std::map<std::string, last_report> reports_;  // By node id.
  // All routes together, then each route in the order of its first report. A
  // deque keeps references valid when a stratum is added.
  std::deque<stratum> strata_;
  growth_evidence failure_growth_;
  growth_evidence slowness_growth_;
  int proven_percent_ = 0;
  bool wants_share_cap_ = false;
  // NewCalls() when the current share cap began.
  std::uint64_t share_cap_start_call_ = 0;
  // NewCalls() at which the cooldown after the last share cap ends.
  std::uint64_t share_cap_cooldown_end_call_ = 0;
  std::string rollback_reason_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_MOVE_EVALUATOR_H_
