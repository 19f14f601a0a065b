#include "app/commands.h"

#include <iostream>
#include <span>
#include <string>
#include <string_view>

#include "app/node.h"
#include "operators/commands.h"

namespace fireflyspar::app {
namespace {

constexpr std::string_view kVersion = "0.1.0";

int PrintVersion(std::span<const std::string>) {
  std::cout << "fireflyspar " << kVersion << '\n';
  return 0;
}

}  // namespace

std::vector<base::command> Commands() {
  std::vector<base::command> commands = operators::OperatorCommands();
  commands.insert(commands.begin(),
                  {.name = "node",
                   .summary = "run the node beside a backend server",
                   .run = RunNode});
  commands.push_back(
      {.name = "version", .summary = "print the version", .run = PrintVersion});
  return commands;
}

}  // namespace fireflyspar::app
