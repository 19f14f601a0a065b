// The list of the lab's subcommands: stand-ins, load generator, experiments. A
// new subcommand is added to the list in lab/commands.cc.
#ifndef FIREFLYSPAR_LAB_COMMANDS_H_
#define FIREFLYSPAR_LAB_COMMANDS_H_

#include <vector>

#include "base/command.h"

namespace fireflyspar::lab {

std::vector<base::command> Commands();

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_COMMANDS_H_
