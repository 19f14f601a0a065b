#include "lab/mesh_experiments.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "base/log.h"
#include "base/settings.h"
#include "config/delta.h"
#include "lab/mesh_fleet.h"

namespace fireflyspar::lab {
namespace {

using nlohmann::ordered_json;

constexpr base::setting kNodes{.name = "nodes",
                               .kind = base::setting_kind::kNumber,
                               .default_text = "12",
                               .help = "nodes, all in this one process",
                               .min_value = 2,
                               .max_value = 1000};
constexpr base::setting kChanges{.name = "changes",
                                 .kind = base::setting_kind::kNumber,
                                 .default_text = "50",
                                 .help = "configurations offered in sequence",
                                 .min_value = 1,
                                 .max_value = 10'000};
constexpr base::setting kServices{.name = "services",
                                  .kind = base::setting_kind::kNumber,
                                  .default_text = "230",
                                  .help = "services in the preset",
                                  .min_value = 1,
                                  .max_value = 2000};
constexpr base::setting kSeconds{.name = "seconds",
                                 .kind = base::setting_kind::kNumber,
                                 .default_text = "10",
                                 .help = "seconds of each phase",
                                 .min_value = 1,
                                 .max_value = 600};
constexpr base::setting kChurn{
    .name = "churn",
    .kind = base::setting_kind::kNumber,
    .default_text = "2",
    .help = "server records changed per second in the whole fleet",
    .min_value = 1,
    .max_value = 1000};
constexpr base::setting kSeed{.name = "seed",
                              .kind = base::setting_kind::kNumber,
                              .default_text = "1",
                              .help = "seed of the random numbers"};

constexpr base::setting kConvergenceSettings[] = {kNodes, kChanges, kServices,
                                                  kSeed};
constexpr base::setting kCostSettings[] = {kNodes,   kSeconds,  kChurn,
                                           kChanges, kServices, kSeed};

mesh_fleet_options FleetOptions(const base::settings& settings) {
  return {.nodes = static_cast<std::size_t>(settings.Number("nodes")),
          .seed = static_cast<std::uint64_t>(settings.Number("seed"))};
}

// Returns the smallest of the sorted values such that at least the fraction
// `quantile` of all values is less than or equal to it.
double Quantile(const std::vector<double>& sorted, double quantile) {
  if (sorted.empty()) return 0;
  const double rank = std::ceil(quantile * static_cast<double>(sorted.size()));
  return sorted[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

double Milliseconds(lab_clock::duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

// Offers `changes` versions in sequence, each at a random node. Returns the
// sorted times, in milliseconds, until each was in force at all nodes.
std::vector<double> OfferChanges(mesh_fleet& fleet, std::uint64_t first,
                                 std::size_t changes, std::size_t services,
                                 const base::random_hook& random) {
  constexpr auto kMaxPauseMs = 200;
  std::vector<double> times;
  for (std::uint64_t i = 0; i < changes; ++i) {
    const auto change = MakeTestSnapshot(first + i, services);
    if (change == nullptr) break;
    const auto offered = lab_clock::now();
    fleet.At(random() % fleet.Size()).Offer(change);
    const auto in_force_at = fleet.WaitUntilInForce(first + i);
    if (in_force_at != lab_clock::time_point{}) {
      times.push_back(Milliseconds(in_force_at - offered));
    }
    std::this_thread::sleep_for(
        std::chrono::milliseconds(random() % kMaxPauseMs));
  }
  std::ranges::sort(times);
  return times;
}

double ResidentMegabytes() {
  constexpr double kBytesPerMegabyte = 1e6;
  std::ifstream statm("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  statm >> total >> resident;
  return static_cast<double>(resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE)) / kBytesPerMegabyte;
}

// Returns the resources used between two measurements, per node and second.
ordered_json PerNodeSecond(const mesh_usage& before, const mesh_usage& after,
                           double nodes, double seconds) {
  const double scale = 1 / (nodes * seconds);
  return {
      {"bytes_sent",
       static_cast<double>(after.wire_bytes_sent - before.wire_bytes_sent) *
           scale},
      {"messages_sent",
       static_cast<double>(after.messages_sent - before.messages_sent) * scale},
      {"cpu_percent", 100 * (after.cpu_seconds - before.cpu_seconds) * scale}};
}

// Runs one phase of the cost experiment, in which `action` is called at the
// given rate. Returns the resources used.
template <typename Action>
ordered_json MeasurePhase(mesh_fleet& fleet, std::int64_t seconds,
                          double per_second, Action action) {
  const mesh_usage before = fleet.Usage();
  const auto start = lab_clock::now();
  const auto end = start + std::chrono::seconds(seconds);
  double actions_done = 0;
  while (lab_clock::now() < end) {
    const double elapsed =
        std::chrono::duration<double>(lab_clock::now() - start).count();
    for (; actions_done < elapsed * per_second; ++actions_done) action();
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  const double elapsed =
      std::chrono::duration<double>(lab_clock::now() - start).count();
  return PerNodeSecond(before, fleet.Usage(), static_cast<double>(fleet.Size()),
                       elapsed);
}

std::size_t DeltaBytes(std::uint64_t version, std::size_t services) {
  constexpr std::size_t kBytesPerEdit = 8;
  const auto change =
      config::MakeDelta(MakeTestSnapshot(version, services)->text,
                        MakeTestSnapshot(version + 1, services)->text);
  std::size_t bytes = change.base_hash.size() + change.result_hash.size();
  for (const config::edit& each : change.edits) {
    bytes += each.added.size() + kBytesPerEdit;
  }
  return bytes;
}

ordered_json ChangeCost(mesh_fleet& fleet, const base::settings& settings,
                        const ordered_json& idle,
                        const base::random_hook& random) {
  const auto changes = static_cast<std::size_t>(settings.Number("changes"));
  const auto services = static_cast<std::size_t>(settings.Number("services"));
  const auto nodes = static_cast<double>(fleet.Size());
  const mesh_usage before = fleet.Usage();
  const std::int64_t fetched = fleet.BytesSent("configuration");
  const auto start = lab_clock::now();
  OfferChanges(fleet, 2, changes, services, random);
  const double elapsed =
      std::chrono::duration<double>(lab_clock::now() - start).count();
  const mesh_usage after = fleet.Usage();
  const double scale = 1 / (nodes * static_cast<double>(changes));
  const double spent =
      static_cast<double>(after.wire_bytes_sent - before.wire_bytes_sent) -
      idle["bytes_sent"].get<double>() * nodes * elapsed;
  return {
      {"wire_bytes", spent * scale},
      {"fetch_payload_bytes",
       static_cast<double>(fleet.BytesSent("configuration") - fetched) * scale},
      {"floor_bytes", DeltaBytes(2, services)},
      {"cpu_milliseconds",
       1000 * (after.cpu_seconds - before.cpu_seconds) * scale}};
}

}  // namespace

int RunConvergenceExperiment(std::span<const std::string> arguments) {
  const base::command_line_result line = base::ParseCommandLine(
      {.program = "fireflyspar-lab experiment convergence",
       .summary = "Measures the time until a configuration is in force at all "
                  "nodes.",
       .table = kConvergenceSettings},
      arguments);
  if (!line.parsed) return line.exit_code;
  base::InitLogging(base::log_level::kWarning);
  const base::settings& settings = *line.parsed;
  const auto services = static_cast<std::size_t>(settings.Number("services"));
  const auto changes = static_cast<std::size_t>(settings.Number("changes"));
  const auto options = FleetOptions(settings);
  const base::random_hook random = base::SeededRandom(options.seed);

  const auto start = lab_clock::now();
  mesh_fleet fleet(options);
  const bool joined = fleet.WaitUntilJoined();
  const double join_time = Milliseconds(lab_clock::now() - start);
  fleet.At(0).Offer(MakeTestSnapshot(1, services));
  fleet.WaitUntilInForce(1);
  const auto times = OfferChanges(fleet, 2, changes, services, random);
  const ordered_json figures{{"experiment", "convergence"},
                             {"processes", 1},
                             {"nodes", options.nodes},
                             {"data_centres", options.data_centres},
                             {"seed", options.seed},
                             {"joined", joined},
                             {"join_milliseconds", join_time},
                             {"changes", changes},
                             {"converged", times.size()},
                             {"services", services},
                             {"p50_milliseconds", Quantile(times, 0.5)},
                             {"p99_milliseconds", Quantile(times, 0.99)},
                             {"worst_milliseconds", Quantile(times, 1)}};
  std::cout << figures << '\n';
  return joined && times.size() == changes ? 0 : 1;
}

int RunControlCostExperiment(std::span<const std::string> arguments) {
  const base::command_line_result line = base::ParseCommandLine(
      {.program = "fireflyspar-lab experiment control-cost",
       .summary = "Measures the mesh's cost: idle, under churn, per change.",
       .table = kCostSettings},
      arguments);
  if (!line.parsed) return line.exit_code;
  base::InitLogging(base::log_level::kWarning);
  const base::settings& settings = *line.parsed;
  const auto options = FleetOptions(settings);
  const base::random_hook random = base::SeededRandom(options.seed);
  const auto services = static_cast<std::size_t>(settings.Number("services"));
  const std::int64_t seconds = settings.Number("seconds");

  mesh_fleet fleet(options);
  const bool joined = fleet.WaitUntilJoined();
  const mesh_usage joining = fleet.Usage();
  fleet.At(0).Offer(MakeTestSnapshot(1, services));
  fleet.WaitUntilInForce(1);
  std::this_thread::sleep_for(std::chrono::seconds(2));

  const ordered_json idle = MeasurePhase(fleet, seconds, 0, [] {});
  const ordered_json churn = MeasurePhase(
      fleet, seconds, static_cast<double>(settings.Number("churn")), [&] {
        fleet.At(random() % fleet.Size())
            .SetServer({.service = "service-0",
                        .version = "v" + std::to_string(random() % 1000),
                        .slots = 6,
                        .state = decisions::server_state::kServing});
      });
  const ordered_json change = ChangeCost(fleet, settings, idle, random);
  const auto nodes = static_cast<double>(options.nodes);
  const ordered_json figures{
      {"experiment", "control-cost"},
      {"processes", 1},
      {"nodes", options.nodes},
      {"data_centres", options.data_centres},
      {"seed", options.seed},
      {"joined", joined},
      {"joining_bytes_per_node",
       static_cast<double>(joining.wire_bytes_sent) / nodes},
      {"idle_per_node_second", idle},
      {"churn_per_second", settings.Number("churn")},
      {"churn_per_node_second", churn},
      {"per_node_and_change", change},
      {"resident_megabytes_per_node", ResidentMegabytes() / nodes}};
  std::cout << figures << '\n';
  return joined ? 0 : 1;
}

}  // namespace fireflyspar::lab
