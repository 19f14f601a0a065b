// What one node has seen of one move: for each route and for both versions, how
// many calls there were, how many failed and how many were slow. "Slow" means
// slower than about 95 in 100 of the old version's calls, which turns latency
// into a stream of yes/no trials like failures. Counting is cheap, as it
// happens for every call.
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

// Follows a quantile of a stream without keeping the stream: each value above
// the estimate pulls it up by `quantile` steps, each value below it pulls it
// down by the rest, so that it rests where the two balance (Robbins and Monro,
// 1951). It works on logarithms, since latencies differ by factors.
//
// A wrong estimate costs power and never causes a false alarm, because the
// same threshold is applied to both versions and is fixed before each call.
class quantile_tracker {
 public:
  explicit quantile_tracker(double quantile) : quantile_(quantile) {}

  void Add(double value);

  // Whether `value` lies above the estimate; false before the first Add.
  bool IsAbove(double value) const;

 private:
  double quantile_;
  double log_estimate_ = 0;
  double estimate_ = 0;  // Its exponential, kept for speed.
  std::uint64_t count_ = 0;
};

// The counts of one move on one node.
class move_evidence {
 public:
  // Counts the call if it went to one of the move's versions. `was_cautious`:
  // the share was held down when the call was dispatched.
  void Record(const move& value, const call_outcome& outcome,
              bool was_cautious);

  std::vector<stratum_counts> OldVersion() const { return Counts(kOld); }
  std::vector<stratum_counts> NewVersion() const { return Counts(kNew); }

  // Grows with each counted call.
  std::uint64_t Calls() const { return calls_; }

 private:
  enum side { kOld, kNew };
  static constexpr double kSlowQuantile = 0.95;

  struct route_counts {
    std::string route;
    quantile_tracker slow_threshold{kSlowQuantile};
    // By version, then by whether the share was held down.
    std::array<std::array<stratum_counts, 2>, 2> counts;
  };

  route_counts& RouteOf(std::string_view route);
  std::vector<stratum_counts> Counts(side of) const;

  std::vector<route_counts> routes_;
  std::uint64_t calls_ = 0;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_EVIDENCE_H_
