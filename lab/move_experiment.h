// The experiment `moves-decisions`: many seeded moves of every kind of version
// at several rates of traffic, judged by the real decisions in virtual time,
// with two baselines beside them. Prints one JSON object.
#ifndef FIREFLYSPAR_LAB_MOVE_EXPERIMENT_H_
#define FIREFLYSPAR_LAB_MOVE_EXPERIMENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "lab/move_experiment_contender.h"
#include "lab/move_experiment_world.h"

namespace fireflyspar::lab {

struct move_run_options {
  version_kind kind;
  contender_kind contender;
  double calls_per_second = 0;
  std::chrono::seconds length{};  // From the move's start to its time.
  std::uint64_t seed = 0;
};

// What became of one move.
struct move_run {
  bool is_done_in_time = false;
  bool is_taken_back = false;
  bool has_shown = false;             // The new version misbehaved.
  std::uint64_t calls_before = 0;     // To the new version before it showed.
  std::uint64_t calls_after = 0;      // And from then on.
  std::uint64_t all_calls_after = 0;  // To both versions from then on.
  double share_when_shown = 0;
  std::optional<double> verdict_after;  // Seconds from showing.
  std::optional<double> zero_after;  // Seconds from showing until no node gives
                                     // the new version a call.
};

move_run RunOneMove(const move_run_options& options);

// The move's length at a rate of traffic: slow services are given longer.
std::chrono::seconds LengthAt(double calls_per_second);

// How many calls of the new version any test needs on average to tell the
// fault at this budget of false alarms (Wald 1945; Lorden 1971); empty for a
// good version.
std::optional<double> LeastCallsToTell(const version_kind& kind);

int RunMoveExperiment(std::span<const std::string> arguments);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_MOVE_EXPERIMENT_H_
