// The experiment `balancing`: the balancer's choice (decisions/balancer.h)
// against round robin and random in virtual time, with one slow server, one
// cold one or one that lies about its load. The same seed gives the same
// figures.
#ifndef FIREFLYSPAR_LAB_BALANCING_EXPERIMENT_H_
#define FIREFLYSPAR_LAB_BALANCING_EXPERIMENT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <span>
#include <string>

namespace fireflyspar::lab {

// For each trouble and policy: the 99th percentile of the latency, and the
// share of calls that were shed.
nlohmann::json RunBalancingExperiment(std::uint64_t seed);

// The subcommand.
int RunBalancingCommand(std::span<const std::string> arguments);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_BALANCING_EXPERIMENT_H_
