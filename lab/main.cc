#include <string>
#include <vector>

#include "lab/commands.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const auto commands = fireflyspar::lab::Commands();
  return fireflyspar::base::RunCommand("fireflyspar-lab", commands, arguments);
}
