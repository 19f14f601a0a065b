#include "lab/experiments.h"

#include "lab/balancing_experiment.h"
#include "lab/call_overhead.h"
#include "lab/mesh_experiments.h"
#include "lab/move_experiment.h"
#include "lab/routing_cost.h"

namespace fireflyspar::lab {

std::vector<base::command> Experiments() {
  return {
      {.name = "balancing",
       .summary = "the balancer compared with round robin and random",
       .run = RunBalancingCommand},
      {.name = "call-overhead",
       .summary = "what a call through fireflyspar costs over a direct one",
       .run = RunCallOverhead},
      {.name = "moves-decisions",
       .summary = "moves to good and bad versions, in virtual time",
       .run = RunMoveExperiment},
      {.name = "convergence",
       .summary = "time until a configuration is in force at every node",
       .run = RunConvergenceExperiment},
      {.name = "control-cost",
       .summary = "bytes and processor time that nodes spend on each other",
       .run = RunControlCostExperiment},
      {.name = "routing-cost",
       .summary = "time to find a call's servers in a large fleet",
       .run = RunRoutingCost},
  };
}

int RunExperiment(std::span<const std::string> arguments) {
  return base::RunCommand("fireflyspar-lab experiment", Experiments(),
                          arguments);
}

}  // namespace fireflyspar::lab
