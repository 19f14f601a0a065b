#include "lab/commands.h"

#include "lab/platform_stand_in.h"

namespace fireflyspar::lab {

std::vector<app::command> Commands() {
  return {
      {.name = "platform",
       .summary = "a stand-in for the platform's object API",
       .run = RunPlatform},
  };
}

}  // namespace fireflyspar::lab
