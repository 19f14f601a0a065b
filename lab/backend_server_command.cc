#include <chrono>
#include <iostream>
#include <thread>
#include <vector>

#include "base/end_signals.h"
#include "base/settings.h"
#include "lab/backend_server.h"

namespace fireflyspar::lab {
namespace {

using base::setting;
using base::setting_kind;

std::vector<setting> Table() {
  using enum setting_kind;
  return {
      {.name = "address",
       .kind = kAddress,
       .help = "address to listen on",
       .required = true},
      {.name = "node-address",
       .kind = kAddress,
       .help = "operators' address of the instance's node, to announce to",
       .required = true},
      {.name = "service", .help = "service to announce", .required = true},
      {.name = "version",
       .default_text = "v1",
       .help = "version of the service"},
      {.name = "name",
       .default_text = "server",
       .help = "server name that answers contain"},
      {.name = "slots",
       .kind = kNumber,
       .default_text = "6",
       .help = "number of slots to announce",
       .min_value = 1,
       .max_value = 100000},
      {.name = "workers",
       .kind = kNumber,
       .default_text = "2",
       .help = "threads",
       .min_value = 1,
       .max_value = 64},
      {.name = "work-ms",
       .kind = kMilliseconds,
       .default_text = "0",
       .help = "processing time of each request"},
      {.name = "body-bytes",
       .kind = kNumber,
       .default_text = "0",
       .help = "padding added to each answer",
       .max_value = 8000000},
      {.name = "cold-ms",
       .kind = kMilliseconds,
       .default_text = "0",
       .help = "time after the start that is announced as starting"},
      {.name = "cold-factor",
       .kind = kNumber,
       .default_text = "1",
       .help = "multiplies the processing time while cold",
       .min_value = 1,
       .max_value = 1000},
      {.name = "shed-above",
       .kind = kNumber,
       .default_text = "0",
       .help = "shed requests while this many are in flight; 0: never"},
      {.name = "fail-percent",
       .kind = kNumber,
       .default_text = "0",
       .help = "percentage of bad requests answered with 500",
       .max_value = 100},
      {.name = "cut-percent",
       .kind = kNumber,
       .default_text = "0",
       .help = "percentage of bad requests with truncated answers",
       .max_value = 100},
      {.name = "hang-percent",
       .kind = kNumber,
       .default_text = "0",
       .help = "percentage of bad requests that are never answered",
       .max_value = 100},
      {.name = "slow-ms",
       .kind = kMilliseconds,
       .default_text = "0",
       .help = "delay added to bad requests"},
      {.name = "bad-path", .help = "path prefix of bad requests; empty: all"},
      {.name = "bad-after-ms",
       .kind = kMilliseconds,
       .default_text = "0",
       .help = "time after the start from which requests are bad"},
      {.name = "bad-above",
       .kind = kNumber,
       .default_text = "0",
       .help = "requests are bad only with more than this many in flight"},
  };
}

backend_server_options ReadOptions(const base::settings& settings) {
  const auto number = [&settings](std::string_view name) {
    return static_cast<int>(settings.Number(name));
  };
  return {.address = settings.Address("address"),
          .node_address = settings.Address("node-address"),
          .name = settings.Text("name"),
          .service = settings.Text("service"),
          .version = settings.Text("version"),
          .slots = number("slots"),
          .workers = number("workers"),
          .work = settings.Milliseconds("work-ms"),
          .body_bytes = number("body-bytes"),
          .cold = settings.Milliseconds("cold-ms"),
          .cold_factor = number("cold-factor"),
          .shed_above = number("shed-above"),
          .fail_percent = number("fail-percent"),
          .truncate_percent = number("cut-percent"),
          .hang_percent = number("hang-percent"),
          .bad_path_prefix = settings.Text("bad-path"),
          .slow = settings.Milliseconds("slow-ms"),
          .bad_after = settings.Milliseconds("bad-after-ms"),
          .bad_above = number("bad-above")};
}

// Starts draining, and waits until no request was in flight for two seconds, or
// for 15 seconds at most.
void DrainAndWait(backend_server& server) {
  constexpr std::chrono::milliseconds kPoll{20};
  constexpr std::chrono::seconds kIdlePeriod{2};
  constexpr std::chrono::seconds kMaxDrainTime{15};
  server.Drain();
  const auto begun = std::chrono::steady_clock::now();
  auto last_busy = begun;
  for (auto now = begun;
       now - last_busy < kIdlePeriod && now - begun < kMaxDrainTime;
       now = std::chrono::steady_clock::now()) {
    if (server.InFlight() > 0) last_busy = now;
    std::this_thread::sleep_for(kPoll);
  }
}

}  // namespace

int RunBackendServer(std::span<const std::string> arguments) {
  const std::vector<setting> table = Table();
  const auto line = base::ParseCommandLine(
      {.program = "fireflyspar-lab backend-server",
       .summary = "runs a stand-in backend server until SIGTERM",
       .table = table},
      arguments);
  if (!line.parsed) return line.exit_code;
  const base::end_signals signals;
  backend_server server(ReadOptions(*line.parsed));
  const base::status started = server.Start();
  if (!started) {
    std::cerr << started.Failure().detail << '\n';
    return base::ErrorInfoFor(started.Failure().Kind()).exit_code;
  }
  std::cout << server.Address().ToText() << std::endl;
  signals.Wait();
  DrainAndWait(server);
  return 0;
}

}  // namespace fireflyspar::lab
