// A simulated service during a move, for the experiment on moves: calls arrive
// at random at several nodes, and the new one of its two versions is good or
// has one of several kinds of fault. Seeded and in virtual time.
#ifndef FIREFLYSPAR_LAB_MOVE_EXPERIMENT_SERVICE_H_
#define FIREFLYSPAR_LAB_MOVE_EXPERIMENT_SERVICE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/hooks.h"
#include "decisions/call_outcome.h"
#include "decisions/move.h"

namespace fireflyspar::lab {

// How the new version behaves.
struct version_kind {
  std::string_view name;
  bool is_bad = false;
  double failure_rate = 0;       // Share of its calls that fail while bad.
  double slowdown = 1;           // Factor on its latency while bad.
  bool is_late = false;          // Bad only from a random time on.
  bool is_under_load = false;    // Bad only with 40% of the calls or more.
  bool is_single_route = false;  // Bad only on the route with the fewest calls.
  bool is_noisy = false;  // Both versions have some failures, and a burst of
                          // load makes both slower and fail more often.
};

std::span<const version_kind> VersionKinds();

// A fast pseudo-random generator (Steele, Lea and Flood 2014, "SplitMix").
class split_mix {
 public:
  explicit split_mix(std::uint64_t seed) : state_(seed) {}
  std::uint64_t Next();
  double Unit() { return base::ToUnitInterval(Next()); }
  std::uint64_t Below(std::uint64_t bound) { return Next() % bound; }
  int Poisson(double mean);

 private:
  std::uint64_t state_;
};

class simulated_service {
 public:
  simulated_service(const version_kind& kind, const decisions::move& value,
                    double calls_per_second, std::uint64_t seed);

  // Returns the number of calls that arrive in this slice of time.
  int Arrivals(base::instant now, base::duration slice);

  // Simulates one call to the new or the old version while the new one gets
  // `new_share` of all calls. The returned reference is valid until the next
  // call of this function.
  const decisions::call_outcome& Run(bool to_new, double new_share,
                                     base::instant now);

  // Returns the time of the new version's first visible fault.
  std::optional<base::instant> FaultOnset() const { return fault_onset_; }

 private:
  static constexpr std::size_t kRoutes = 4;

  bool IsBadNow(bool to_new, std::size_t route, double new_share,
                base::instant now) const;
  bool IsBurst(base::instant now) const;
  std::size_t DrawRoute();

  version_kind kind_;
  double calls_per_second_;
  split_mix random_;
  base::instant bad_from_;
  base::instant burst_at_;
  double noise_rate_ = 0;
  std::optional<base::instant> fault_onset_;
  // One preallocated outcome per version and route, so that no strings are
  // copied for each call.
  std::array<std::array<decisions::call_outcome, kRoutes>, 2> outcomes_;
};

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_MOVE_EXPERIMENT_SERVICE_H_
