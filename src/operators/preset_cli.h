// The subcommands `fireflyspar preset put|check|list|show|use`.
#ifndef FIREFLYSPAR_OPERATORS_PRESET_CLI_H_
#define FIREFLYSPAR_OPERATORS_PRESET_CLI_H_

#include <vector>

#include "base/command.h"
#include "operators/command_line.h"

namespace fireflyspar::operators {

std::vector<base::command> PresetCommands(const command_dependencies& deps);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_PRESET_CLI_H_
