#include "lab/commands.h"

#include "lab/backend_server.h"
#include "lab/demo.h"
#include "lab/experiments.h"
#include "lab/load_generator.h"
#include "lab/platform_stand_in.h"

namespace fireflyspar::lab {

std::vector<base::command> Commands() {
  return {
      {.name = "backend-server",
       .summary = "run a stand-in backend server",
       .run = RunBackendServer},
      {.name = "demo",
       .summary = "run the demonstration on a small deployment",
       .run = RunDemo},
      {.name = "load",
       .summary = "send calls at a steady rate",
       .run = RunLoadCommand},
      {.name = "platform",
       .summary = "run a stand-in for the platform's object API",
       .run = RunPlatform},
      {.name = "experiment",
       .summary = "run one experiment and print its figures as JSON",
       .run = RunExperiment},
  };
}

}  // namespace fireflyspar::lab
