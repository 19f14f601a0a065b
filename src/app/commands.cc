#include "app/commands.h"

#include <iostream>

#include "app/node.h"

namespace fireflyspar::app {
namespace {

constexpr std::string_view kVersion = "0.1.0";

int PrintVersion(std::span<const std::string>) {
  std::cout << "fireflyspar " << kVersion << '\n';
  return 0;
}

}  // namespace

std::vector<command> Commands() {
  return {
      {.name = "node",
       .summary = "run the node beside a backend server",
       .run = RunNode},
      {.name = "version", .summary = "print the version", .run = PrintVersion},
  };
}

}  // namespace fireflyspar::app
