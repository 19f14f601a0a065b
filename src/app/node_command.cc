#include <iostream>

#include "app/node.h"
#include "app/node_settings.h"
#include "base/end_signals.h"
#include "base/log.h"

namespace fireflyspar::app {
namespace {

base::log_level ToLogLevel(std::string_view text) {
  if (text == "debug") return base::log_level::kDebug;
  if (text == "warning") return base::log_level::kWarning;
  if (text == "error") return base::log_level::kError;
  return base::log_level::kInfo;
}

}  // namespace

node_options ToNodeOptions(const base::settings& settings) {
  node_options options{
      .node_id = settings.Text("node-id"),
      .data_centre = settings.Text("data-centre"),
      .region = settings.Text("region"),
      .outside_address = settings.Address("outside-address"),
      .inside_address = settings.Address("inside-address"),
      .gate_address = settings.Address("gate-address"),
      .rpc_address = settings.Address("rpc-address"),
      .operators_address = settings.Address("operators-address"),
      .platform_address = settings.Address("platform-address"),
      .seeds = settings.Addresses("seeds"),
      .workers = static_cast<int>(settings.Number("workers")),
      .join_wait = settings.Milliseconds("join-wait"),
      .drain_limit = settings.Milliseconds("drain-limit"),
      .fault_injection = settings.Bool("fault-switch"),
  };
  if (options.node_id.empty()) options.node_id = options.rpc_address.ToText();
  return options;
}

int RunNode(std::span<const std::string> arguments) {
  const base::command_line_result line = base::ParseCommandLine(
      {.program = "fireflyspar node",
       .summary = "Runs the node beside a backend server until SIGTERM.",
       .table = NodeSettings()},
      arguments);
  if (!line.parsed) return line.exit_code;

  const base::end_signals signals;
  base::InitLogging(ToLogLevel(line.parsed->Text("log-level")));
  node running(ToNodeOptions(*line.parsed));
  if (const base::status started = running.Start(); !started) {
    std::cerr << "fireflyspar node: " << started.Failure().detail << '\n';
    return base::ErrorInfoFor(started.Failure().Kind()).exit_code;
  }
  signals.Wait();
  running.Finish();
  return 0;
}

}  // namespace fireflyspar::app
