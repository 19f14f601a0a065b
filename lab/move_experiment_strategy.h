// The rollout strategies that the experiment on moves compares. A strategy
// divides a service's calls between two versions and evaluates the new one. All
// strategies run against the same seeded simulation of the service.
#ifndef FIREFLYSPAR_LAB_MOVE_EXPERIMENT_STRATEGY_H_
#define FIREFLYSPAR_LAB_MOVE_EXPERIMENT_STRATEGY_H_

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

inline constexpr std::size_t kNodes = 6;  // Two in each data centre.
inline constexpr std::size_t kDataCentres = 3;

// When a move ended.
struct move_end_times {
  std::optional<base::instant> rolled_back_at;  // First rollback at any node.
  std::optional<base::instant> done_at;         // Final state at the platform.
};

struct move_strategy {
  // Returns the share of its calls that the node sends to the new version now.
  std::function<double(std::size_t node, base::instant now)> share;
  std::function<void(std::size_t node, const decisions::call_outcome&,
                     base::instant now)>
      record;
  std::function<void(base::instant now)> step;  // Called once per time slice.
  std::function<move_end_times()> end_times;
};

struct move_strategy_options {
  decisions::move value;
  config::move_policy policy;
  std::uint64_t seed = 0;
};

// Makes the product's own strategy: the real move trackers and evaluators,
// connected by simulated messages that are delayed, duplicated, dropped and
// reordered.
move_strategy MakeFireflysparStrategy(const move_strategy_options& options);

// Makes a baseline with one evaluator that gets the outcomes of all nodes and
// has a fixed threshold: it rolls back if over the last ten seconds the new
// version had at least 20 calls and over 5% of them failed. The share follows
// the schedule alone.
move_strategy MakeFixedThresholdStrategy(const move_strategy_options& options);

// Makes a baseline that follows the schedule alone; every move ends done.
move_strategy MakeNoEvaluatorStrategy(const move_strategy_options& options);

struct strategy_factory {
  std::string_view name;
  move_strategy (*make)(const move_strategy_options& options);
};

inline constexpr strategy_factory kStrategyFactories[] = {
    {"fireflyspar", MakeFireflysparStrategy},
    {"fixed-threshold", MakeFixedThresholdStrategy},
    {"no-judge", MakeNoEvaluatorStrategy},
};

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_MOVE_EXPERIMENT_STRATEGY_H_
