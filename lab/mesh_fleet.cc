#include "lab/mesh_fleet.h"

#include <algorithm>
#include <iostream>
#include <thread>

#include "base/hash.h"
#include "config/preset_text.h"
#include "decisions/membership.h"

namespace fireflyspar::lab {
namespace {

constexpr auto kPoll = std::chrono::milliseconds(2);
constexpr auto kWaitTimeout = std::chrono::seconds(60);
constexpr std::size_t kSeeds = 3;
constexpr std::size_t kServicesInFleet = 230;

std::string DataCentreName(std::size_t index) {
  return "dc" + std::to_string(index);
}

decisions::server_record ServerOf(std::size_t index) {
  return {.service = "service-" + std::to_string(index % kServicesInFleet),
          .version = "v1",
          .slots = 6,
          .state = decisions::server_state::kServing};
}

template <typename Condition>
bool WaitFor(Condition condition) {
  const auto end = lab_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (lab_clock::now() > end) return false;
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

}  // namespace

mesh_fleet::mesh_fleet(const mesh_fleet_options& options) {
  for (std::size_t i = 0; i < options.nodes; ++i) {
    nodes_.push_back(std::make_unique<node>());
    Start(*nodes_.back(), i, options);
  }
}

mesh_fleet::~mesh_fleet() = default;

void mesh_fleet::Start(node& started, std::size_t index,
                       const mesh_fleet_options& options) {
  const std::size_t data_centre = index % options.data_centres;
  started.running = std::make_unique<nodes::mesh>(nodes::mesh_options{
      .node_id = "node-" + std::to_string(index),
      .data_centre = DataCentreName(data_centre),
      .region = "region-" + std::to_string(data_centre % 2),
      .rpc_address = {.ip = "127.0.0.1"},
      .gate_address = {.ip = "127.0.0.1", .port = 1},
      .seeds = seeds_,
      .clock = base::SystemClock(),
      .random = base::SeededRandom(options.seed * 1000 + index),
      .metrics = &started.metrics,
      .on_change = [&started](const decisions::fleet_view_ptr& view) {
        if (view->configuration == nullptr) return;
        const std::lock_guard lock(started.mutex);
        if (view->configuration->id.version <= started.version) return;
        started.version = view->configuration->id.version;
        started.in_force_since = lab_clock::now();
      }});
  const base::status status = started.running->Start();
  if (!status) {
    std::cerr << status.Failure().detail << '\n';
    return;
  }
  started.running->SetServer(ServerOf(index));
  if (seeds_.size() < kSeeds) {
    seeds_.push_back(started.running->RpcAddress());
  }
}

bool mesh_fleet::WaitUntilJoined() {
  return WaitFor([&] {
    return std::ranges::all_of(nodes_, [&](const auto& each) {
      const auto view = each->running->View();
      return std::ranges::count_if(
                 view->members, [](const decisions::member_record& member) {
                   return decisions::IsLiving(member) &&
                          !member.server.service.empty();
                 }) == static_cast<std::ptrdiff_t>(nodes_.size());
    });
  });
}

lab_clock::time_point mesh_fleet::WaitUntilInForce(std::uint64_t version) {
  lab_clock::time_point last;
  const bool in_force = WaitFor([&] {
    return std::ranges::all_of(nodes_, [&](const auto& each) {
      const std::lock_guard lock(each->mutex);
      last = std::max(last, each->in_force_since);
      return each->version >= version;
    });
  });
  return in_force ? last : lab_clock::time_point{};
}

mesh_usage mesh_fleet::Usage() const {
  constexpr double kMicrosecondsPerSecond = 1e6;
  mesh_usage all;
  for (const auto& each : nodes_) {
    base::metrics& metrics = each->metrics;
    all.wire_bytes_sent +=
        metrics.Counter("fireflyspar_control_wire_bytes_total",
                        R"(seam="nodes",direction="sent")");
    for (const char* kind :
         {"push", "exchange", "compare", "probe", "configuration"}) {
      all.messages_sent +=
          metrics.Counter("fireflyspar_control_messages_total",
                          std::string(R"(seam="nodes",kind=")") + kind +
                              R"(",direction="sent")");
    }
    all.cpu_seconds +=
        static_cast<double>(
            metrics.Gauge("fireflyspar_mesh_cpu_microseconds").load()) /
        kMicrosecondsPerSecond;
  }
  return all;
}

std::int64_t mesh_fleet::BytesSent(const std::string& kind) const {
  std::int64_t bytes = 0;
  for (const auto& each : nodes_) {
    bytes += each->metrics.Counter(
        "fireflyspar_control_bytes_total",
        R"(seam="nodes",kind=")" + kind + R"(",direction="sent")");
  }
  return bytes;
}

config::snapshot_ptr MakeTestSnapshot(std::uint64_t version,
                                      std::size_t services) {
  config::preset preset{.name = "ordinary",
                        .data_centres = {"dc0", "dc1", "dc2", "dc3"}};
  for (std::size_t i = 0; i < services; ++i) {
    const std::string name = "service-" + std::to_string(i);
    preset.services.push_back(
        {.name = name, .versions = {{.version = "v1", .percent = 100}}});
    preset.routes.push_back({.name = name + "-read",
                             .methods = {"GET"},
                             .path_prefix = "/" + name,
                             .service = name});
    preset.routes.push_back({.name = name + "-write",
                             .methods = {"POST"},
                             .path_prefix = "/" + name,
                             .service = name,
                             .at_most_once = true});
  }
  const std::size_t changed = version % services;
  preset.services[changed].timeout =
      std::chrono::milliseconds(1000 + version % 1000);
  std::string text = config::ToText(preset);
  config::version_id id{.version = version, .hash = base::ContentHash(text)};
  auto made = config::MakeSnapshot(std::move(id), std::move(text));
  if (!made) {
    std::cerr << made.Failure().detail << '\n';
    return nullptr;
  }
  return *std::move(made);
}

}  // namespace fireflyspar::lab
