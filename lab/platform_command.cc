// The subcommand `platform`, which runs the platform's stand-in.
#include <array>
#include <iostream>

#include "base/end_signals.h"
#include "base/settings.h"
#include "lab/platform_stand_in.h"

namespace fireflyspar::lab {
namespace {

using base::setting_kind;

constexpr std::array kSettings = {
    base::setting{.name = "address",
                  .kind = setting_kind::kAddress,
                  .default_text = "127.0.0.1:7000",
                  .help = "address to listen on"},
    base::setting{.name = "faults",
                  .default_text = "{}",
                  .help = "initial faults as JSON: "
                          "{\"slow_ms\":200,\"reads_per_second\":2000}"},
};

}  // namespace

int RunPlatform(std::span<const std::string> arguments) {
  const auto line = base::ParseCommandLine(
      {.program = "fireflyspar-lab platform",
       .summary = "runs an in-memory stand-in for the platform's object API",
       .table = kSettings},
      arguments);
  if (!line.parsed) return line.exit_code;
  const auto faults = ParseFaults(line.parsed->Text("faults"));
  if (!faults) {
    std::cerr << "--faults: " << faults.Failure().detail << '\n';
    return base::ErrorInfoFor(base::error_kind::kBadSettings).exit_code;
  }
  const base::end_signals signals;
  platform_stand_in stand_in(
      {.address = line.parsed->Address("address"), .faults = *faults});
  const auto started = stand_in.Start();
  if (!started) {
    std::cerr << started.Failure().detail << '\n';
    return base::ErrorInfoFor(started.Failure().Kind()).exit_code;
  }
  std::cout << "platform listens on " << stand_in.Address().ToText()
            << std::endl;
  signals.Wait();
  stand_in.Stop();
  return 0;
}

}  // namespace fireflyspar::lab
