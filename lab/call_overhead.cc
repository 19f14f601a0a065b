#include "lab/call_overhead.h"

#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "base/log.h"
#include "base/settings.h"
#include "callers/call_path.h"
#include "lab/backend_server.h"
#include "lab/load_generator.h"
#include "lab/reverse_proxy_baseline.h"

namespace fireflyspar::lab {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr char kService[] = "stock";
constexpr double kMicrosecondsPerMillisecond = 1000.0;

// One measured variant: where the load is sent, and the sums over its turns.
struct measured_variant {
  std::string name;
  base::address target;
  load_result all;
  microseconds cpu{0};
};

// Two nodes that share one view. The server is on the local node's instance.
class two_node_fixture {
 public:
  two_node_fixture(const base::address& server, int workers) {
    view_ = MakeView();
    local_node_ = MakeNode("beside", workers, gate_);
    remote_node_ = MakeNode("away", workers, serverless_gate_);
    started_ = local_node_->Start().Ok() && remote_node_->Start().Ok();
    view_->members.push_back(
        {.node_id = "beside",
         .data_centre = "one",
         .gate_address = local_node_->Bound().gate,
         .server = {.service = kService,
                    .version = "v1",
                    .slots = kSlots,
                    .state = decisions::server_state::kServing}});
    started_ = started_ &&
               gate_
                   .OnAnnouncement({.server_address = server,
                                    .server = view_->members.front().server})
                   .Ok();
  }

  bool Started() const { return started_; }
  base::address OneHop() const { return local_node_->Bound().outside; }
  base::address TwoHops() const { return remote_node_->Bound().outside; }

 private:
  static constexpr int kSlots = 18;

  static std::shared_ptr<decisions::fleet_view> MakeView() {
    auto snapshot = std::make_shared<config::snapshot>();
    snapshot->id = {.version = 1, .hash = "overhead"};
    snapshot->content = {
        .name = "overhead",
        .data_centres = {"one"},
        .services = {{.name = kService,
                      .versions = {{.version = "v1", .percent = 100}}}},
        .routes = {{.name = kService,
                    .path_prefix = "/stock",
                    .service = kService,
                    .visible_from = config::visibility::kOutside}}};
    auto view = std::make_shared<decisions::fleet_view>();
    view->configuration = std::move(snapshot);
    return view;
  }

  std::unique_ptr<callers::call_path> MakeNode(const std::string& id,
                                               int workers,
                                               backend_servers::gate& gate) {
    const base::address any_port{.ip = "127.0.0.1"};
    return std::make_unique<callers::call_path>(callers::call_path_options{
        .node_id = id,
        .data_centre = "one",
        .outside_address = any_port,
        .inside_address = any_port,
        .gate_address = any_port,
        .workers = workers,
        .clock = base::SystemClock(),
        .random = base::SystemRandom(),
        .metrics = &metrics_,
        .gate = &gate,
        .view = [this]() -> decisions::fleet_view_ptr { return view_; }});
  }

  base::metrics metrics_;
  backend_servers::gate gate_{{.clock = base::SystemClock()}};
  backend_servers::gate serverless_gate_{{.clock = base::SystemClock()}};
  std::shared_ptr<decisions::fleet_view> view_;
  std::unique_ptr<callers::call_path> local_node_;
  std::unique_ptr<callers::call_path> remote_node_;
  bool started_ = false;
};

// Returns the processor time of this process, which runs the load, the nodes
// and the server. The differences between the variants are what the hops cost.
microseconds CpuUsed() {
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  const auto to_duration = [](const timeval& time) {
    return std::chrono::seconds(time.tv_sec) + microseconds(time.tv_usec);
  };
  return to_duration(used.ru_utime) + to_duration(used.ru_stime);
}

void MeasureTurn(measured_variant& variant, load_options load) {
  load.target = variant.target;
  const microseconds before = CpuUsed();
  const load_result result = RunLoad(load);
  variant.cpu += CpuUsed() - before;
  variant.all.sent += result.sent;
  variant.all.cut += result.cut;
  variant.all.mismatched_answers += result.mismatched_answers;
  for (const auto& [status, count] : result.by_status) {
    variant.all.by_status[status] += count;
  }
  variant.all.latencies.insert(variant.all.latencies.end(),
                               result.latencies.begin(),
                               result.latencies.end());
}

nlohmann::json Report(std::vector<measured_variant>& variants) {
  constexpr std::array kQuantiles = {
      std::pair{"p50", 0.5}, std::pair{"p99", 0.99}, std::pair{"p999", 0.999}};
  for (measured_variant& each : variants) std::ranges::sort(each.all.latencies);
  const measured_variant& direct = variants.front();
  nlohmann::json report = nlohmann::json::object();
  for (const measured_variant& each : variants) {
    nlohmann::json row = each.all.ToJson();
    const auto calls =
        static_cast<double>(std::max<std::int64_t>(1, each.all.sent));
    row["cpu_us_per_call"] = static_cast<double>(each.cpu.count()) / calls;
    for (const auto& [name, quantile] : kQuantiles) {
      const microseconds added =
          each.all.Quantile(quantile) - direct.all.Quantile(quantile);
      row[std::string("added_") + name + "_ms"] =
          static_cast<double>(added.count()) / kMicrosecondsPerMillisecond;
    }
    report[each.name] = std::move(row);
  }
  return report;
}

std::vector<base::setting> Table() {
  using enum base::setting_kind;
  return {
      // Accepted so that the command line is like the other experiments'.
      {.name = "seed",
       .kind = kNumber,
       .default_text = "1",
       .help = "unused, since this experiment measures real time"},
      {.name = "rate",
       .kind = kNumber,
       .default_text = "175",
       .help = "calls a second",
       .min_value = 1,
       .max_value = 20000},
      {.name = "rounds",
       .kind = kNumber,
       .default_text = "5",
       .help = "turns of each variant",
       .min_value = 1,
       .max_value = 1000},
      {.name = "turn-ms",
       .kind = kMilliseconds,
       .default_text = "2000",
       .help = "length of a turn",
       .min_value = 100},
      {.name = "workers",
       .kind = kNumber,
       .default_text = "2",
       .help = "threads of each node",
       .min_value = 1,
       .max_value = 64},
      {.name = "baseline",
       .kind = kBool,
       .default_text = "true",
       .help = "also measure the reverse proxy built on cpprestsdk"},
  };
}

}  // namespace

int RunCallOverhead(std::span<const std::string> arguments) {
  const std::vector<base::setting> table = Table();
  const auto line = base::ParseCommandLine(
      {.program = "fireflyspar-lab experiment call-overhead",
       .summary = "what a call through fireflyspar costs over a direct one",
       .table = table},
      arguments);
  if (!line.parsed) return line.exit_code;
  base::InitLogging(base::log_level::kWarning);
  const base::settings& settings = *line.parsed;
  constexpr int kAnswerBytes = 800;  // About 1 KB with the other fields.
  backend_server server(
      {.service = kService, .slots = 18, .body_bytes = kAnswerBytes});
  if (!server.Start()) return 1;
  const two_node_fixture nodes(server.Address(),
                               static_cast<int>(settings.Number("workers")));
  if (!nodes.Started()) return 1;
  std::vector<measured_variant> variants = {
      {.name = "direct", .target = server.Address()},
      {.name = "one_hop", .target = nodes.OneHop()},
      {.name = "two_hops", .target = nodes.TwoHops()}};
  std::unique_ptr<reverse_proxy_baseline> baseline;
  if (settings.Bool("baseline")) {
    baseline = std::make_unique<reverse_proxy_baseline>(server.Address());
    variants.push_back(
        {.name = "cpprestsdk_relay", .target = baseline->Address()});
  }
  load_options load{.rate = static_cast<double>(settings.Number("rate")),
                    .duration = milliseconds(200),
                    .path = "/stock/7"};
  std::vector<measured_variant> warm_up = variants;
  for (measured_variant& each : warm_up) MeasureTurn(each, load);
  load.duration = settings.Milliseconds("turn-ms");
  for (std::int64_t round = 0; round < settings.Number("rounds"); ++round) {
    for (measured_variant& each : variants) MeasureTurn(each, load);
  }
  nlohmann::json report = Report(variants);
  report["experiment"] = "call-overhead";
  report["rate"] = settings.Number("rate");
  std::cout << report.dump() << std::endl;
  return 0;
}

}  // namespace fireflyspar::lab
