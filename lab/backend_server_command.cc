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
       .help = "listen here",
       .required = true},
      {.name = "node-address",
       .kind = kAddress,
       .help = "announce to the node beside, at its operators' port",
       .required = true},
      {.name = "service", .help = "the service it runs", .required = true},
      {.name = "version", .default_text = "v1", .help = "of the service"},
      {.name = "name", .default_text = "server", .help = "echoed in answers"},
      {.name = "slots",
       .kind = kNumber,
       .default_text = "6",
       .help = "requests at once",
       .least = 1,
       .most = 100000},
      {.name = "workers",
       .kind = kNumber,
       .default_text = "2",
       .help = "threads",
       .least = 1,
       .most = 64},
      {.name = "work-ms",
       .kind = kMilliseconds,
       .default_text = "0",
       .help = "time each request takes"},
      {.name = "body-bytes",
       .kind = kNumber,
       .default_text = "0",
       .help = "added to each answer",
       .most = 8000000},
      {.name = "cold-ms",
       .kind = kMilliseconds,
       .default_text = "0",
       .help = "announced as starting this long"},
      {.name = "cold-factor",
       .kind = kNumber,
       .default_text = "1",
       .help = "on the work while cold",
       .least = 1,
       .most = 1000},
      {.name = "shed-above",
       .kind = kNumber,
       .default_text = "0",
       .help = "refuse requests over this many at once; 0: never"},
      {.name = "fail-percent",
       .kind = kNumber,
       .default_text = "0",
       .help = "bad requests answered with 500",
       .most = 100},
      {.name = "cut-percent",
       .kind = kNumber,
       .default_text = "0",
       .help = "bad requests whose answers are cut short",
       .most = 100},
      {.name = "hang-percent",
       .kind = kNumber,
       .default_text = "0",
       .help = "bad requests that are never answered",
       .most = 100},
      {.name = "slow-ms",
       .kind = kMilliseconds,
       .default_text = "0",
       .help = "added to the time of bad requests"},
      {.name = "bad-path", .help = "only paths that begin so are bad"},
      {.name = "bad-after-ms",
       .kind = kMilliseconds,
       .default_text = "0",
       .help = "bad only this long after the start"},
      {.name = "bad-above",
       .kind = kNumber,
       .default_text = "0",
       .help = "bad only with more than this many at once"},
  };
}

backend_server_options ReadOptions(const base::settings& from) {
  const auto number = [&from](std::string_view name) {
    return static_cast<int>(from.Number(name));
  };
  return {.address = from.Address("address"),
          .node_address = from.Address("node-address"),
          .name = from.Text("name"),
          .service = from.Text("service"),
          .version = from.Text("version"),
          .slots = number("slots"),
          .workers = number("workers"),
          .work = from.Milliseconds("work-ms"),
          .body_bytes = number("body-bytes"),
          .cold = from.Milliseconds("cold-ms"),
          .cold_factor = number("cold-factor"),
          .shed_above = number("shed-above"),
          .fail_percent = number("fail-percent"),
          .cut_percent = number("cut-percent"),
          .hang_percent = number("hang-percent"),
          .bad_path = from.Text("bad-path"),
          .slow = from.Milliseconds("slow-ms"),
          .bad_after = from.Milliseconds("bad-after-ms"),
          .bad_above = number("bad-above")};
}

// Announces the leaving, and stays until new requests have ceased to come.
void Leave(backend_server& server) {
  constexpr std::chrono::milliseconds kPoll{20};
  constexpr std::chrono::seconds kQuiet{2};
  constexpr std::chrono::seconds kLongest{15};
  server.Drain();
  const auto begun = std::chrono::steady_clock::now();
  auto last_busy = begun;
  for (auto now = begun; now - last_busy < kQuiet && now - begun < kLongest;
       now = std::chrono::steady_clock::now()) {
    if (server.Running() > 0) last_busy = now;
    std::this_thread::sleep_for(kPoll);
  }
}

}  // namespace

int RunBackendServer(std::span<const std::string> arguments) {
  const std::vector<setting> table = Table();
  const auto line = base::ReadCommandLine(
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
    return base::AnswerFor(started.Failure().Kind()).exit_code;
  }
  std::cout << server.Address().ToText() << std::endl;
  signals.Wait();
  Leave(server);
  return 0;
}

}  // namespace fireflyspar::lab
