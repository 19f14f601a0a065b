#include <string>
#include <vector>

#include "app/commands.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const auto commands = fireflyspar::app::Commands();
  return fireflyspar::base::RunCommand("fireflyspar", commands, arguments);
}
