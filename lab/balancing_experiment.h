// The experiment `balancing`: compares the balancer (decisions/balancer.h) with
// round robin, random and least-reported-load balancing in virtual time. In
// each scenario at most one server is slow or cold or misreports its load.
// The same seed gives the same figures.
#ifndef FIREFLYSPAR_LAB_BALANCING_EXPERIMENT_H_
#define FIREFLYSPAR_LAB_BALANCING_EXPERIMENT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <span>
#include <string>

namespace fireflyspar::lab {

// Returns, for each scenario and policy, the 99th percentile of the latency in
// milliseconds, the share of calls that were shed and the number of calls.
nlohmann::json RunBalancingExperiment(std::uint64_t seed);

// Implements the subcommand `experiment balancing`.
int RunBalancingCommand(std::span<const std::string> arguments);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_BALANCING_EXPERIMENT_H_
