// The list of the product's subcommands.
#ifndef FIREFLYSPAR_APP_COMMANDS_H_
#define FIREFLYSPAR_APP_COMMANDS_H_

#include <vector>

#include "base/command.h"

namespace fireflyspar::app {

std::vector<base::command> Commands();

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_COMMANDS_H_
