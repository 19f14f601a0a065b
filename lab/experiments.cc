#include "lab/experiments.h"

#include "lab/move_experiment.h"

namespace fireflyspar::lab {

std::vector<base::command> Experiments() {
  return {
      {.name = "moves-decisions",
       .summary = "good and bad versions judged in virtual time",
       .run = RunMoveExperiment},
  };
}

int RunExperiment(std::span<const std::string> arguments) {
  return base::RunCommand("fireflyspar-lab experiment", Experiments(),
                          arguments);
}

}  // namespace fireflyspar::lab
