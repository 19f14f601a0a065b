// The subcommands `fireflyspar status`, `drain` and `audit`.
#ifndef FIREFLYSPAR_OPERATORS_STATUS_CLI_H_
#define FIREFLYSPAR_OPERATORS_STATUS_CLI_H_

#include <vector>

#include "base/command.h"
#include "operators/command_line.h"

namespace fireflyspar::operators {

std::vector<base::command> StatusCommands(const command_dependencies& deps);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_STATUS_CLI_H_
