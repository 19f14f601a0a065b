#include <string>
#include <vector>

#include "app/commands.h"
#include "platform/proxy_command.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  auto commands = fireflyspar::app::Commands();
  commands.push_back(fireflyspar::platform::ProxyCommand());
  return fireflyspar::base::RunCommand("fireflyspar", commands, arguments);
}
