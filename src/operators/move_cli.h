// The subcommands `fireflyspar move start|list|show|take-back|wait`.
#ifndef FIREFLYSPAR_OPERATORS_MOVE_CLI_H_
#define FIREFLYSPAR_OPERATORS_MOVE_CLI_H_

#include <vector>

#include "base/command.h"
#include "operators/command_line.h"

namespace fireflyspar::operators {

std::vector<base::command> MoveCommands(const command_dependencies& deps);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_MOVE_CLI_H_
