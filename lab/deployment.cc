#include "lab/deployment.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fstream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <utility>

#include "lab/http.h"

namespace fireflyspar::lab {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPoll{20};
constexpr std::size_t kSeedCount = 3;

bool IsReady(const instance& at) {
  const auto reply = Request({.target = at.AddressWithPort(kOperatorsPort),
                              .path = "/readyz",
                              .timeout = milliseconds{1000}});
  return reply.Ok() && reply->status == 200;
}

bool PlatformAnswers(const base::address& at) {
  const auto reply = Request({.target = at,
                              .path = "/objects?prefix=none",
                              .timeout = milliseconds{1000}});
  return reply.Ok() && reply->status == 200;
}

std::string Flag(std::string_view name, const base::address& value) {
  return "--" + std::string(name) + "=" + value.ToText();
}

std::string Flag(std::string_view name, std::string_view value) {
  return "--" + std::string(name) + "=" + std::string(value);
}

void SetBlockedPrefixes(const instance& at,
                        const std::vector<std::string>& prefixes) {
  // A failure is ignored: the partition is not stored, so a node that is down
  // has none after its restart.
  (void)Request({.method = "POST",
                 .target = at.AddressWithPort(kOperatorsPort),
                 .path = "/cut",
                 .body = nlohmann::json(prefixes).dump()});
}

}  // namespace

deployment::deployment(deployment_options options)
    : options_(std::move(options)) {
  for (const server_plan& plan : options_.plans) {
    for (int count = 0; count < plan.servers; ++count) CreateInstance(plan);
  }
}

std::string deployment::Ip(int data_centre, int number) const {
  return "127." + std::to_string(options_.second_octet) + "." +
         std::to_string(data_centre) + "." + std::to_string(number);
}

std::string deployment::AddressPrefix(std::string_view data_centre) const {
  const auto found = std::ranges::find(options_.data_centres, data_centre);
  const auto index = found - options_.data_centres.begin();
  return "127." + std::to_string(options_.second_octet) + "." +
         std::to_string(index + 1) + ".";
}

std::string deployment::LogPath(const std::string& name) const {
  return options_.log_folder + "/" + name + ".log";
}

base::address deployment::PlatformAddress() const {
  return {.ip = Ip(0, 1), .port = kPlatformPort};
}

// Assigns instances to the data centres in round-robin order.
void deployment::CreateInstance(const server_plan& plan) {
  const int number = next_number_++;
  const auto index =
      static_cast<std::size_t>(number - 1) % options_.data_centres.size();
  auto placed = std::make_unique<instance>();
  placed->number = number;
  placed->data_centre = options_.data_centres[index];
  placed->plan = plan;
  placed->ip = Ip(static_cast<int>(index) + 1, number);
  instances_.push_back(std::move(placed));
}

std::string deployment::Seeds() const {
  std::string seeds;
  const std::size_t count = std::min(kSeedCount, instances_.size());
  for (const auto& each : std::span(instances_).first(count)) {
    if (!seeds.empty()) seeds += ",";
    seeds += each->AddressWithPort(kRpcPort).ToText();
  }
  return seeds;
}

base::status deployment::StartPlatform() {
  const std::vector<std::string> command = {
      options_.binaries + "/lab/fireflyspar-lab", "platform",
      Flag("address", PlatformAddress())};
  auto started = process::Start(command, LogPath("platform"));
  if (!started) return started.Failure();
  platform_.clear();
  platform_.push_back(std::move(*started));
  const bool answers =
      WaitFor([this] { return PlatformAnswers(PlatformAddress()); },
              std::chrono::seconds{10});
  if (answers) return base::success{};
  return base::Fail(
      base::error_kind::kTimedOut,
      "the stand-in platform does not answer at " + PlatformAddress().ToText());
}

base::status deployment::StartNode(instance& at) {
  const std::vector<std::string> command = {
      options_.binaries + "/src/fireflyspar",
      "node",
      Flag("node-id", at.data_centre + "-" + std::to_string(at.number)),
      Flag("data-centre", at.data_centre),
      Flag("outside-address", at.AddressWithPort(kOutsidePort)),
      Flag("inside-address", at.AddressWithPort(kInsidePort)),
      Flag("gate-address", at.AddressWithPort(kGatePort)),
      Flag("rpc-address", at.AddressWithPort(kRpcPort)),
      Flag("operators-address", at.AddressWithPort(kOperatorsPort)),
      Flag("platform-address", PlatformAddress()),
      Flag("seeds", Seeds()),
      Flag("fault-switch", "true"),
  };
  auto started =
      process::Start(command, LogPath("node-" + std::to_string(at.number)));
  if (!started) return started.Failure();
  at.node.clear();
  at.node.push_back(std::move(*started));
  return base::success{};
}

base::status deployment::StartServer(instance& at) {
  std::vector<std::string> command = {
      options_.binaries + "/lab/fireflyspar-lab",
      "backend-server",
      Flag("address", at.AddressWithPort(kServerPort)),
      Flag("node-address", at.AddressWithPort(kOperatorsPort)),
      Flag("service", at.plan.service),
      Flag("version", at.plan.version),
      Flag("slots", std::to_string(at.plan.slots)),
  };
  std::ranges::copy(at.plan.extra, std::back_inserter(command));
  auto started =
      process::Start(command, LogPath("server-" + std::to_string(at.number)));
  if (!started) return started.Failure();
  at.server.clear();
  at.server.push_back(std::move(*started));
  return base::success{};
}

base::result<instance*> deployment::AddInstance(const server_plan& plan) {
  CreateInstance(plan);
  instance& added = *instances_.back();
  if (const auto started = StartNode(added); !started) return started.Failure();
  if (const auto started = StartServer(added); !started) {
    return started.Failure();
  }
  const bool is_ready =
      WaitFor([&] { return IsReady(added); }, std::chrono::seconds{30});
  if (!is_ready) {
    return base::Fail(base::error_kind::kTimedOut,
                      "the node at " + added.ip + " does not become ready");
  }
  return &added;
}

base::status deployment::Start(std::chrono::seconds limit) {
  if (const auto started = StartPlatform(); !started) return started;
  for (const auto& each : instances_) {
    if (const auto started = StartNode(*each); !started) return started;
    if (const auto started = StartServer(*each); !started) return started;
  }
  const bool all_answer = WaitFor(
      [this] {
        return std::ranges::all_of(instances_, [](const auto& each) {
          return Request({.target = each->AddressWithPort(kOperatorsPort),
                          .path = "/healthz",
                          .timeout = milliseconds{1000}})
              .Ok();
        });
      },
      limit);
  if (all_answer) return base::success{};
  return base::Fail(base::error_kind::kTimedOut,
                    "not every node answers; see " + options_.log_folder);
}

int deployment::RunCli(std::vector<std::string> arguments,
                       std::string* output) {
  static std::atomic<int> count = 0;
  const std::string log = LogPath("command-" + std::to_string(++count));
  std::vector<std::string> command = {options_.binaries + "/src/fireflyspar"};
  std::ranges::move(arguments, std::back_inserter(command));
  command.push_back(Flag("platform-address", PlatformAddress()));
  auto started = process::Start(command, log);
  if (!started) {
    return base::ErrorInfoFor(base::error_kind::kInternal).exit_code;
  }
  const int exit_code = started->Wait();
  if (output != nullptr) {
    std::ifstream file(log);
    output->assign(std::istreambuf_iterator<char>(file), {});
  }
  return exit_code;
}

bool deployment::WaitFor(const std::function<bool()>& holds,
                         std::chrono::seconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!holds()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

std::uint64_t deployment::ConfigurationVersionAt(const instance& at) {
  const auto version = ReadMetric(at, "fireflyspar_configuration_version");
  return static_cast<std::uint64_t>(version);
}

bool deployment::AllNodesAtVersion(std::uint64_t version) const {
  return std::ranges::all_of(instances_, [&](const auto& each) {
    return each->node.empty() || ConfigurationVersionAt(*each) >= version;
  });
}

double deployment::ReadMetric(const instance& at, std::string_view name) {
  const auto reply = Request({.target = at.AddressWithPort(kOperatorsPort),
                              .path = "/metrics",
                              .timeout = milliseconds{1000}});
  if (!reply.Ok()) return 0;
  double sum = 0;
  std::istringstream in(reply->body);
  for (std::string line; std::getline(in, line);) {
    const std::size_t space = line.rfind(' ');
    const std::string_view key = std::string_view(line).substr(0, space);
    const bool matches =
        key == name || (key.starts_with(name) && key[name.size()] == '{');
    if (matches) sum += std::stod(line.substr(space + 1));
  }
  return sum;
}

void deployment::Partition(std::string_view left, std::string_view right) {
  for (const auto& each : instances_) {
    if (each->data_centre == left) {
      SetBlockedPrefixes(*each, {AddressPrefix(right)});
    }
    if (each->data_centre == right) {
      SetBlockedPrefixes(*each, {AddressPrefix(left)});
    }
  }
}

void deployment::PartitionFromPlatform(std::string_view data_centre) {
  for (const auto& each : instances_) {
    if (each->data_centre == data_centre) {
      SetBlockedPrefixes(*each, {PlatformAddress().ip});
    }
  }
}

void deployment::Heal() {
  for (const auto& each : instances_) SetBlockedPrefixes(*each, {});
}

deployment_options KyushuDeployment(const std::string& binaries,
                                    const std::string& log_folder) {
  constexpr int kSlots = 6;
  return {.binaries = binaries,
          .log_folder = log_folder,
          .second_octet = 1,
          .data_centres = {"fukuoka", "kumamoto", "kagoshima"},
          .plans = {{"equipment-history", "v1", 5, kSlots, {}},
                    {"inspection-records", "v1", 4, kSlots, {}},
                    {"cylinder-supply", "v1", 3, kSlots, {}}}};
}

deployment_options GlassbackDeployment(const std::string& binaries,
                                       const std::string& log_folder) {
  constexpr int kSlots = 18;
  return {.binaries = binaries,
          .log_folder = log_folder,
          .second_octet = 2,
          .data_centres = {"khomas-north", "khomas-east", "khomas-south"},
          .plans = {{"counter-balances", "v1", 5, kSlots, {}},
                    {"refund-ledger", "v1", 3, kSlots, {}},
                    {"depot-settlement", "v1", 3, kSlots, {}}}};
}

}  // namespace fireflyspar::lab
