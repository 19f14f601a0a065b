// The subcommands of the one binary. Each is a function from its arguments to
// an exit code, so that a test can call it as the shell would.
#ifndef FIREFLYSPAR_BASE_COMMAND_H_
#define FIREFLYSPAR_BASE_COMMAND_H_

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace fireflyspar::base {

struct command {
  std::string_view name;
  std::string_view summary;  // One line for the list of commands.
  // `arguments` begins after the subcommand's name.
  std::function<int(std::span<const std::string> arguments)> run;
};

// Runs the command that the first argument names; without one, or with an
// unknown one, prints the list and gives the exit code of bad settings.
int RunCommand(std::string_view program, std::span<const command> commands,
               std::span<const std::string> arguments);

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_COMMAND_H_
