#include "base/command.h"

#include <algorithm>
#include <iostream>

#include "base/error.h"

namespace fireflyspar::base {
namespace {

void PrintList(std::ostream& out, std::string_view program,
               std::span<const command> commands) {
  out << "usage: " << program << " COMMAND [OPTIONS]\n\ncommands:\n";
  constexpr std::size_t kColumn = 14;
  for (const command& each : commands) {
    const std::size_t used = each.name.size();
    out << "  " << each.name
        << std::string(used < kColumn ? kColumn - used : 1, ' ') << each.summary
        << '\n';
  }
  out << "\nRun '" << program << " COMMAND --help' for a command's options.\n";
}

}  // namespace

int RunCommand(std::string_view program, std::span<const command> commands,
               std::span<const std::string> arguments) {
  const int usage_exit_code = ErrorInfoFor(error_kind::kBadSettings).exit_code;
  if (arguments.empty()) {
    PrintList(std::cerr, program, commands);
    return usage_exit_code;
  }
  const std::string& name = arguments.front();
  if (name == "--help" || name == "help") {
    PrintList(std::cout, program, commands);
    return 0;
  }
  const auto found = std::ranges::find(commands, name, &command::name);
  if (found == commands.end()) {
    std::cerr << program << ": unknown command '" << name << "'\n";
    PrintList(std::cerr, program, commands);
    return usage_exit_code;
  }
  return found->run(arguments.subspan(1));
}

}  // namespace fireflyspar::base
