// The experiment `moves-decisions`: simulates many seeded moves to every kind
// of version at several rates of traffic, in virtual time. The product's
// decision code is compared with two baselines. Prints one JSON object.
#ifndef FIREFLYSPAR_LAB_MOVE_EXPERIMENT_H_
#define FIREFLYSPAR_LAB_MOVE_EXPERIMENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "lab/move_experiment_service.h"
#include "lab/move_experiment_strategy.h"

namespace fireflyspar::lab {

struct move_run_options {
  version_kind kind;
  strategy_factory factory;
  double calls_per_second = 0;
  std::chrono::seconds length{};  // From the move's start to its deadline.
  std::uint64_t seed = 0;
};

// The result of one move. The onset is the time of the new version's first
// visible fault.
struct move_run {
  bool is_done_in_time = false;
  bool is_rolled_back = false;
  bool fault_appeared = false;           // Whether there was an onset.
  std::uint64_t calls_before_onset = 0;  // To the new version, up to the onset.
  std::uint64_t calls_after_onset = 0;   // To the new version, after the onset.
  std::uint64_t all_calls_after_onset =
      0;                      // To both versions, after the onset.
  double share_at_onset = 0;  // The new version's share at the onset.
  std::optional<double>
      rollback_delay_seconds;  // Seconds from the onset to the rollback.
  std::optional<double>
      zero_share_delay_seconds;  // Seconds from the onset until no node
                                 // sends calls to the new version.
};

move_run RunOneMove(const move_run_options& options);

// Returns the length of a move at a rate of traffic; services with fewer calls
// get longer moves.
std::chrono::seconds MoveLengthForRate(double calls_per_second);

// Returns the lower bound on the average number of calls of the new version
// that any test needs to detect the fault within the experiment's budget of
// false alarms (Wald 1945; Lorden 1971), or nothing for a good version.
std::optional<double> MinCallsToDetect(const version_kind& kind);

// Implements the subcommand `experiment moves-decisions`.
int RunMoveExperiment(std::span<const std::string> arguments);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_MOVE_EXPERIMENT_H_
