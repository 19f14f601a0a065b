// The subcommands of the fireflyspar binary: the node, the operators' commands
// and `version`. The proxy's subcommand is added in main.cc.
#ifndef FIREFLYSPAR_APP_COMMANDS_H_
#define FIREFLYSPAR_APP_COMMANDS_H_

#include <vector>

#include "base/command.h"

namespace fireflyspar::app {

std::vector<base::command> Commands();

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_COMMANDS_H_
