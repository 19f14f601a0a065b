#include "lab/commands.h"

#include "lab/experiments.h"

namespace fireflyspar::lab {

std::vector<app::command> Commands() {
  return {
      {.name = "experiment",
       .summary = "run one experiment and print its figures as JSON",
       .run = RunExperiment},
  };
}

}  // namespace fireflyspar::lab
