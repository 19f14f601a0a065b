// The service under a move, as the experiment on moves sees it: calls that
// arrive at random at several nodes, and two versions of which the new one may
// be good or bad in a number of ways. Seeded and in virtual time.
#ifndef FIREFLYSPAR_LAB_MOVE_EXPERIMENT_WORLD_H_
#define FIREFLYSPAR_LAB_MOVE_EXPERIMENT_WORLD_H_

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

// A way for a version to be.
struct version_kind {
  std::string_view name;
  bool is_bad = false;
  double failure_rate = 0;       // Of the new version's calls, while it is bad.
  double slowdown = 1;           // Factor on its latency, while it is bad.
  bool is_late = false;          // Bad only from some moment on.
  bool is_under_load = false;    // Bad while it has over 40% of the calls.
  bool is_single_route = false;  // Bad on the rarest route only.
  bool is_noisy = false;  // Both versions fail at times, and a burst of load
                          // slows both down and makes both fail.
};

std::span<const version_kind> VersionKinds();

// A fast generator (Steele, Lea and Flood 2014, "SplitMix").
class split_mix {
 public:
  explicit split_mix(std::uint64_t seed) : state_(seed) {}
  std::uint64_t Next();
  double Unit() { return base::Unit(Next()); }
  std::uint64_t Below(std::uint64_t bound) { return Next() % bound; }
  int Poisson(double mean);

 private:
  std::uint64_t state_;
};

class move_world {
 public:
  move_world(const version_kind& kind, const decisions::move& value,
             double calls_per_second, std::uint64_t seed);

  // Calls that arrive in this slice of time.
  int Arrivals(base::instant now, base::duration slice);

  // Runs one call that goes to the new or the old version, while the new one
  // has `new_share` of all calls. The result stays good until the next call.
  const decisions::call_outcome& Run(bool to_new, double new_share,
                                     base::instant now);

  // When the new version first misbehaved.
  std::optional<base::instant> ShownAt() const { return shown_at_; }

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
  std::optional<base::instant> shown_at_;
  // One ready outcome for each version and route, so that no text is copied
  // for each call.
  std::array<std::array<decisions::call_outcome, kRoutes>, 2> outcomes_;
};

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_MOVE_EXPERIMENT_WORLD_H_
