// The operators' subcommands of the fireflyspar binary.
#ifndef FIREFLYSPAR_OPERATORS_COMMANDS_H_
#define FIREFLYSPAR_OPERATORS_COMMANDS_H_

#include <vector>

#include "base/command.h"
#include "operators/command_line.h"

namespace fireflyspar::operators {

// Returns the subcommands preset, move, status, drain and audit.
std::vector<base::command> OperatorCommands(
    const command_dependencies& deps = ProcessDependencies());

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_COMMANDS_H_
