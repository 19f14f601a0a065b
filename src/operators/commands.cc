#include "operators/commands.h"

#include <algorithm>
#include <iterator>

#include "operators/move_cli.h"
#include "operators/preset_cli.h"
#include "operators/status_cli.h"

namespace fireflyspar::operators {
namespace {

// Returns a subcommand that has subcommands of its own.
base::command Group(std::string_view name, std::string_view program,
                    std::string_view summary,
                    std::vector<base::command> commands) {
  return {.name = name,
          .summary = summary,
          .run = [program, commands = std::move(commands)](
                     std::span<const std::string> arguments) {
            return base::RunCommand(program, commands, arguments);
          }};
}

}  // namespace

std::vector<base::command> OperatorCommands(const command_dependencies& deps) {
  std::vector<base::command> commands = {
      Group("preset", "fireflyspar preset",
            "store presets and choose the one in force", PresetCommands(deps)),
      Group("move", "fireflyspar move",
            "move calls from an old version to a new one", MoveCommands(deps))};
  std::ranges::move(StatusCommands(deps), std::back_inserter(commands));
  return commands;
}

}  // namespace fireflyspar::operators
