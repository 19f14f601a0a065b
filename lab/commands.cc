#include "lab/commands.h"

namespace fireflyspar::lab {

std::vector<app::command> Commands() { return {}; }

}  // namespace fireflyspar::lab
