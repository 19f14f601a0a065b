// Judges one move from the cumulative reports of many nodes. It answers two
// questions: is the new version worse than the old one (then the move is taken
// back), and how large a share has the new version earned so far.
//
// Reports of one node replace each other by (incarnation, sequence), so that
// lost, doubled and crossed ones do no harm. What a node's former life reported
// stays counted. A judge that comes late starts from the first report of each
// node: what lies before it was shared out in many ways over time, so that its
// sums can't be compared; it only shows in the totals.
#ifndef FIREFLYSPAR_DECISIONS_MOVE_JUDGE_H_
#define FIREFLYSPAR_DECISIONS_MOVE_JUDGE_H_

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

// The evidence that the new version may grow: the likelihood of its calls if it
// is as good as the old one, against that of a version with `excess` more hits.
// It never falls below zero, so that a bad stretch delays and does not doom.
struct growth_evidence {
  double log_ratio = 0;

  void Add(const trial_block& block, double old_rate, double excess);
};

class move_judge {
 public:
  // `false_alarm_budget`: the greatest chance that this judge ever takes back
  // a version that is no worse than the old one.
  explicit move_judge(double false_alarm_budget);

  void Merge(const evidence_report& report);

  // Weighs what came in since the last call, and raises ClearedPercent when
  // the new version has earned it. Called a few times a second.
  void Weigh(const move& value, const config::move_policy& policy,
             base::instant now);

  // One sentence once the new version is proven to be worse; empty before.
  const std::string& Fault() const { return fault_; }

  // The share that the new version has earned, in whole percent.
  int ClearedPercent() const { return cleared_percent_; }

  // Whether the new version has lately done unusually badly on some route, as
  // measured against what is remembered of the old one.
  bool IsSuspicious() const;

  // Whether the share should be held down now, so that the versions can be
  // compared well. Only for a bounded number of calls after a suspicion arose,
  // and then not again for a multiple of them: a fault that shows under load
  // hides while the share is down, and would otherwise never be proven.
  bool WantsCaution() const { return is_cautious_; }

  // Calls counted so far.
  std::uint64_t OldCalls() const { return strata_.front().old_calls; }
  std::uint64_t NewCalls() const { return strata_.front().new_calls; }

 private:
  // One of failing and being slow, on one route.
  struct symptom {
    sequential_test test;
    // Not weighed yet; one block for the share held down and one for not.
    std::array<trial_block, 2> pending;
    std::uint64_t unwatched_calls = 0;  // Of the new version.
    std::uint64_t unwatched_hits = 0;
    std::uint64_t old_hits = 0;
    std::uint64_t new_hits = 0;
  };
  struct stratum {
    std::string route;
    symptom failures;
    symptom slowness;
    std::uint64_t old_calls = 0;
    std::uint64_t new_calls = 0;
  };
  // The last report of a node.
  struct heard {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::vector<stratum_counts> old_version;
    std::vector<stratum_counts> new_version;
  };

  stratum& StratumOf(const std::string& route);
  void Count(const stratum_counts& increment, bool is_new, bool is_evidence);
  void WeighStratum(std::size_t index, const move& value);
  void WeighSymptom(symptom& of, std::size_t index, std::string_view verb,
                    const move& value);
  void Beware();
  void Grow(const trial_block& failures, const trial_block& slowness,
            const move& value, const config::move_policy& policy,
            base::instant now);

  double budget_;
  std::map<std::string, heard> reports_;  // By node id.
  std::deque<stratum> strata_;  // All routes together, then each route in the
                                // order in which it was first heard of.
  growth_evidence failure_growth_;
  growth_evidence slowness_growth_;
  int cleared_percent_ = 0;
  bool is_cautious_ = false;
  std::uint64_t cautious_from_ = 0;  // Both count calls of the new version.
  std::uint64_t not_cautious_to_ = 0;
  std::string fault_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_MOVE_JUDGE_H_
