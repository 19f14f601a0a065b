// The subcommands of the program, which is a single binary. Each subcommand is
// a function that takes its arguments and returns an exit code, so that a test
// can call it the way a shell does.
#ifndef FIREFLYSPAR_BASE_COMMAND_H_
#define FIREFLYSPAR_BASE_COMMAND_H_

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace fireflyspar::base {

struct command {
  std::string_view name;
  std::string_view summary;  // One line, shown in the list of commands.
  // `arguments` begins after the subcommand's name.
  std::function<int(std::span<const std::string> arguments)> run;
};

// Runs the command that the first argument names. If the command is missing or
// unknown, prints the list of commands to standard error and returns the exit
// code of kBadSettings.
int RunCommand(std::string_view program, std::span<const command> commands,
               std::span<const std::string> arguments);

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_COMMAND_H_
