#include "lab/demo.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "base/settings.h"
#include "lab/deployment.h"
#include "lab/http.h"
#include "lab/load_generator.h"

namespace fireflyspar::lab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr seconds kStepTimeout{60};

struct demo_report {
  milliseconds convergence{0};
  double control_bytes_per_node_second = 0;
  bool good_move_done = false;
  bool bad_move_rolled_back = false;
  std::int64_t calls_while_killed = 0;
  std::int64_t answered_while_killed = 0;
};

void PrintStep(const std::string& what) {
  std::cout << "== " << what << std::endl;
}

// Copies the example preset with a shorter bake, so that the moves end soon
// enough for a demonstration. Returns the path of the copy.
std::string WritePreset(const std::string& source, const std::string& folder) {
  std::ifstream file(source + "/examples/kyushu/ordinary.json");
  nlohmann::json preset = nlohmann::json::parse(file);
  preset["moves"]["bake_s"] = 5;
  const std::string path = folder + "/ordinary.json";
  std::ofstream(path) << preset.dump(2);
  return path;
}

// Starts a load of lookups at every fourth node, in parallel, for `duration`.
std::vector<std::future<load_result>> StartLoad(const deployment& fleet,
                                                const std::string& path,
                                                milliseconds duration) {
  constexpr std::size_t kStride = 4;
  constexpr double kRate = 60;
  std::vector<std::future<load_result>> running;
  const auto& all = fleet.Instances();
  for (std::size_t index = 0; index < all.size(); index += kStride) {
    const load_options load{.target = all[index]->AddressWithPort(kOutsidePort),
                            .rate = kRate,
                            .duration = duration,
                            .path = path};
    running.push_back(
        std::async(std::launch::async, [load] { return RunLoad(load); }));
  }
  return running;
}

double ControlBytes(const deployment& fleet) {
  double sum = 0;
  for (const auto& each : fleet.Instances()) {
    sum += deployment::ReadMetric(*each, "fireflyspar_control_bytes_total");
  }
  return sum;
}

bool UsePreset(deployment& fleet, const std::string& path,
               demo_report& report) {
  if (fleet.RunCli({"preset", "put", path}) != 0) return false;
  const auto accepted = steady_clock::now();
  if (fleet.RunCli({"preset", "use", "ordinary"}) != 0) return false;
  if (!deployment::WaitFor([&] { return fleet.AllNodesAtVersion(1); },
                           kStepTimeout)) {
    return false;
  }
  report.convergence =
      std::chrono::duration_cast<milliseconds>(steady_clock::now() - accepted);
  return true;
}

bool AllServersKnown(const deployment& fleet) {
  return std::ranges::all_of(fleet.Instances(), [&](const auto& each) {
    const auto reply = Request(
        {.target = each->AddressWithPort(kOperatorsPort), .path = "/status"});
    if (!reply.Ok()) return false;
    const auto status = nlohmann::json::parse(reply->body, nullptr, false);
    if (!status.is_object()) return false;
    const auto serving = std::ranges::count_if(
        status["members"],
        [](const auto& member) { return member["server_state"] == "serving"; });
    return static_cast<std::size_t>(serving) == fleet.Instances().size();
  });
}

// Adds the servers of the new version, starts a move over `length` under load
// and waits for its end. Returns the exit code of `move wait`, that of
// `move start` if it failed, or -1.
int RunMove(deployment& fleet, const server_plan& new_servers,
            const std::string& path, seconds length) {
  for (int count = 0; count < new_servers.servers; ++count) {
    if (!fleet.AddInstance(new_servers)) return -1;
  }
  std::string output;
  const int started =
      fleet.RunCli({"move", "start", "--service", new_servers.service, "--from",
                    "v1", "--to", new_servers.version, "--by",
                    "+" + std::to_string(length.count()) + "s", "--json"},
                   &output);
  std::cout << output;
  if (started != 0) return started;
  const auto parsed = nlohmann::json::parse(output, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("move")) return -1;
  auto load = StartLoad(fleet, path, length + seconds{5});
  const int ended = fleet.RunCli(
      {"move", "wait", parsed["move"].get<std::string>()}, &output);
  std::cout << output;
  for (auto& each : load) std::cout << each.get().ToJson().dump() << '\n';
  return ended;
}

void KillEveryThirdNode(deployment& fleet, demo_report& report) {
  constexpr std::size_t kKillStride = 3;
  auto load = StartLoad(fleet, "/equipment/17", seconds{8});
  auto& all = fleet.Instances();
  // Kills every third node, except for the nodes that the load is sent to.
  for (std::size_t index = 1; index < all.size(); index += kKillStride) {
    if (index % 4 == 0) continue;
    all[index]->node.front().Signal(SIGKILL);
  }
  for (auto& each : load) {
    const load_result result = each.get();
    report.calls_while_killed += result.sent;
    const auto ok_entry = result.by_status.find(200);
    if (ok_entry != result.by_status.end()) {
      report.answered_while_killed += ok_entry->second;
    }
  }
}

void PrintTable(const demo_report& report) {
  std::cout << "\nmeasure                                  value\n"
            << "convergence time (accepted, all nodes)   "
            << report.convergence.count() << " ms\n"
            << "control bytes per node and second        " << std::fixed
            << std::setprecision(0) << report.control_bytes_per_node_second
            << "\n"
            << "good move done in time                   "
            << (report.good_move_done ? "yes" : "NO") << "\n"
            << "bad move rolled back                     "
            << (report.bad_move_rolled_back ? "yes" : "NO") << "\n"
            << "complete answers while nodes were killed "
            << report.answered_while_killed << " of "
            << report.calls_while_killed << "\n";
}

int RunSteps(deployment& fleet, const std::string& preset_path) {
  demo_report report;
  PrintStep("starting 12 backend servers with their nodes in 3 data centres");
  if (const auto started = fleet.Start(kStepTimeout); !started) {
    std::cerr << started.Failure().detail << '\n';
    return 1;
  }
  PrintStep("putting the preset 'ordinary' in force");
  if (!UsePreset(fleet, preset_path, report)) return 1;
  if (!deployment::WaitFor([&] { return AllServersKnown(fleet); },
                           kStepTimeout)) {
    std::cerr << "timed out: some node does not list every server as serving\n";
    return 1;
  }
  const double bytes_before = ControlBytes(fleet);
  const auto began = steady_clock::now();

  PrintStep("moving equipment-history from v1 to a good v2 within 40 s");
  report.good_move_done = RunMove(fleet, {"equipment-history", "v2", 5, 6, {}},
                                  "/equipment/17", seconds{40}) == 0;

  const std::chrono::duration<double> took = steady_clock::now() - began;
  report.control_bytes_per_node_second =
      (ControlBytes(fleet) - bytes_before) / took.count() /
      static_cast<double>(fleet.Instances().size());

  PrintStep(
      "moving inspection-records from v1 to a v2 that fails half of its calls");
  const int rolled_back_code =
      base::ErrorInfoFor(base::error_kind::kRolledBack).exit_code;
  report.bad_move_rolled_back =
      RunMove(fleet,
              {"inspection-records", "v2", 4, 6, {"--fail-percent", "50"}},
              "/inspections/17", seconds{40}) == rolled_back_code;

  PrintStep("killing a third of the nodes under load");
  KillEveryThirdNode(fleet, report);
  PrintTable(report);
  return report.good_move_done && report.bad_move_rolled_back ? 0 : 1;
}

}  // namespace

int RunDemo(std::span<const std::string> arguments) {
  constexpr std::array kTable = {
      base::setting{.name = "binaries",
                    .default_text = "build",
                    .help = "the build folder",
                    .required = true},
      base::setting{.name = "source",
                    .default_text = ".",
                    .help = "the source folder, which has the example presets",
                    .required = true},
  };
  const base::command_line_result line = base::ParseCommandLine(
      {.program = "fireflyspar-lab demo",
       .summary = "Runs the demonstration on the Kyushu deployment.",
       .table = kTable},
      arguments);
  if (!line.parsed) return line.exit_code;
  const std::string binaries = line.parsed->Text("binaries");
  const std::string logs = binaries + "/demo-logs";
  std::filesystem::remove_all(logs);
  std::filesystem::create_directories(logs);
  const std::string preset = WritePreset(line.parsed->Text("source"), logs);
  deployment fleet(KyushuDeployment(binaries, logs));
  const int exit_code = RunSteps(fleet, preset);
  std::cout << "logs of every process: " << logs << '\n';
  return exit_code;
}

}  // namespace fireflyspar::lab
