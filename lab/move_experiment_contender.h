// What the experiment on moves compares: ways to share a service's calls
// between two versions and to judge the new one. All see the same seeded world.
#ifndef FIREFLYSPAR_LAB_MOVE_EXPERIMENT_CONTENDER_H_
#define FIREFLYSPAR_LAB_MOVE_EXPERIMENT_CONTENDER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

#include "base/hooks.h"
#include "config/preset.h"
#include "decisions/call_outcome.h"
#include "decisions/move.h"

namespace fireflyspar::lab {

inline constexpr std::size_t kNodes = 6;  // Two in each of the data centres.
inline constexpr std::size_t kDataCentres = 3;

struct move_fate {
  std::optional<base::instant> taken_back_at;  // The first verdict anywhere.
  std::optional<base::instant> done_at;        // Final at the platform.
};

struct contender {
  // The share that the node gives to the new version now.
  std::function<double(std::size_t node, base::instant now)> share;
  std::function<void(std::size_t node, const decisions::call_outcome&,
                     base::instant now)>
      record;
  std::function<void(base::instant now)> step;  // Called for each slice.
  std::function<move_fate()> fate;
};

struct contender_options {
  decisions::move value;
  config::move_policy policy;
  std::uint64_t seed = 0;
};

// The real trackers and judges, joined by an array of messages that are
// delayed, doubled, dropped and overtake each other.
contender MakeFleet(const contender_options& options);

// One all-seeing judge with a fixed threshold: over the last ten seconds, at
// least 20 calls of the new version of which over 5% failed. The share grows
// by the schedule alone.
contender MakeFixedThreshold(const contender_options& options);

// The schedule alone; every move ends done.
contender MakeNoJudge(const contender_options& options);

struct contender_kind {
  std::string_view name;
  contender (*make)(const contender_options& options);
};

inline constexpr contender_kind kContenderKinds[] = {
    {"fireflyspar", MakeFleet},
    {"fixed-threshold", MakeFixedThreshold},
    {"no-judge", MakeNoJudge},
};

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_MOVE_EXPERIMENT_CONTENDER_H_
