// One node's counts for one move: for each route and both versions, the number
// of calls, of failed calls and of slow calls. A call is slow if its latency is
// above an estimate of the 95th percentile of the old version's calls; this
// makes latency a sequence of yes/no trials, as failures are. Counting is
// cheap, because it happens for every call.
#ifndef FIREFLYSPAR_DECISIONS_EVIDENCE_H_
#define FIREFLYSPAR_DECISIONS_EVIDENCE_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/hooks.h"
#include "decisions/call_outcome.h"
#include "decisions/evidence_report.h"
#include "decisions/move.h"

namespace fireflyspar::decisions {

// Estimates a quantile of a stream without storing its values. Each value above
// the estimate raises it by `quantile` times the step size, and each value
// below lowers it by 1 - `quantile` times, so it converges to where the two
// balance (Robbins and Monro, 1951). The estimate is kept as a logarithm,
// because latencies vary by factors.
//
// A wrong estimate reduces the power of the test but does not cause false
// alarms: both versions have the same threshold, and it is fixed before each
// call.
class quantile_tracker {
 public:
  explicit quantile_tracker(double quantile) : quantile_(quantile) {}

  void Add(double value);

  // Returns whether `value` is above the estimate; false before the first Add.
  bool IsAbove(double value) const;

 private:
  double quantile_;
  double log_estimate_ = 0;
  double estimate_ = 0;  // exp(log_estimate_), cached for speed.
  std::uint64_t count_ = 0;
};

// The counts of one move on one node.
class move_evidence {
 public:
  // Counts the call if it went to one of the move's versions.
  // `was_share_capped` says whether the share was capped when the call was
  // dispatched.
  void Record(const move& value, const call_outcome& outcome,
              bool was_share_capped);

  std::vector<stratum_counts> OldVersion() const { return Counts(kOld); }
  std::vector<stratum_counts> NewVersion() const { return Counts(kNew); }

  // Returns the number of calls counted so far.
  std::uint64_t Calls() const { return calls_; }

 private:
  enum side { kOld, kNew };
  static constexpr double kSlowQuantile = 0.95;

  struct route_counts {
    std::string route;
    quantile_tracker slow_threshold{kSlowQuantile};
    // Indexed by version, then by whether the share was capped.
    std::array<std::array<stratum_counts, 2>, 2> counts;
  };

  route_counts& RouteOf(std::string_view route);
  std::vector<stratum_counts> Counts(side of) const;

  std::vector<route_counts> routes_;
  std::uint64_t calls_ = 0;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_EVIDENCE_H_
