#include "mesh.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <map>
#include <stdexcept>
#include <utility>

namespace review {
namespace {

constexpr std::uint16_t kControlPort = 8620;
constexpr std::uint16_t kInboundPort = 8624;
constexpr std::uint16_t kReadyPort = 8625;
constexpr std::uint16_t kStorePort = 8627;
constexpr std::uint16_t kAppPort = 8628;
constexpr std::uint16_t kOutboundPort = 8629;
constexpr std::uint16_t kFirstInternalPort = 7600;
constexpr std::uint16_t kLastInternalPort = 7615;
constexpr std::uint16_t kMetricsPort = 9464;

// Bound `grace` of the settings.
constexpr milliseconds kGrace{6000};

constexpr milliseconds kReadyPoll{50};

bool IsFree(const address& at) {
  boost::asio::io_context context;
  boost::system::error_code error;
  tcp::acceptor probe(context);
  const tcp::endpoint endpoint = at.Endpoint();
  error = probe.open(endpoint.protocol(), error);
  error = probe.set_option(tcp::acceptor::reuse_address(true), error);
  error = probe.bind(endpoint, error);
  return !error;
}

// Returns the first three numbers of a loopback network in which nobody
// listens at the ports above.
std::string FreeNetwork() {
  constexpr int kFirst = 60;
  constexpr int kNetworks = 150;
  constexpr int kValues = 250;
  for (int i = 0; i < kNetworks; ++i) {
    const int number = ::getpid() + i;
    const std::string network = "127." + std::to_string(kFirst + i % 40) + "." +
                                std::to_string(number % kValues) + ".";
    const auto is_free = [&](int host) {
      const std::string ip = network + std::to_string(host);
      return std::ranges::all_of(
          std::array{kControlPort, kInboundPort, kReadyPort, kStorePort,
                     kAppPort, kOutboundPort, kFirstInternalPort, kMetricsPort},
          [&](std::uint16_t port) { return IsFree({ip, port}); });
    };
    if (is_free(1) && is_free(2)) return network;
  }
  throw std::runtime_error("no free loopback network");
}

}  // namespace

mesh::mesh(std::string folder, const std::vector<std::string>& zones,
           record& log)
    : folder_(std::move(folder)),
      zones_(zones.begin(), zones.end()),
      log_(log) {
  const std::string network = FreeNetwork();
  store_ = {.ip = network + "200", .port = kStorePort};
  second_store_ = {.ip = network + "201", .port = kStorePort};
  std::map<std::string, int> in_zone;
  for (std::size_t i = 0; i < zones.size(); ++i) {
    const std::string ip = network + std::to_string(i + 1);
    const int number = ++in_zone[zones[i]];
    machines_.push_back(
        {.name = "sidecar-" + zones[i] + "-" + std::to_string(number),
         .zone = zones[i],
         .ip = ip,
         .outbound = {ip, kOutboundPort},
         .inbound = {ip, kInboundPort},
         .ready = {ip, kReadyPort},
         .control = {ip, kControlPort},
         .app = {ip, kAppPort},
         .store = store_});
  }
  proxies_.assign(machines_.size(), 0);
}

mesh::~mesh() {
  for (std::size_t i = 0; i < proxies_.size(); ++i) KillProxy(i);
}

void mesh::WriteSettings(const machine& of) const {
  std::ofstream file(folder_ + "/" + of.name + ".yaml");
  const auto quoted = [](const std::string& text) {
    return "\"" + text + "\"\n";
  };
  file << "node: " << quoted(of.name) << "role: \"proxy\"\n"
       << "machine_class: \"sidecar\"\nserves:\n  - \"sidecar\"\n"
       << "ip: " << quoted(of.ip) << "zone: " << quoted(of.zone)
       << "region: \"kyushu\"\nzones:\n";
  for (const std::string& each : zones_) {
    file << "  " << each << ": \"kyushu\"\n";
  }
  file << "listen:\n"
       << "  inbound: " << quoted(of.inbound.Text())
       << "  outbound: " << quoted(of.outbound.Text())
       << "  ready: " << quoted(of.ready.Text())
       << "  control: " << quoted(of.control.Text()) << "internal_ports:\n  - "
       << kFirstInternalPort << "\n  - " << kLastInternalPort
       << "\nseeds: []\nbootstrap: true\ncounts_loss: false\nlimits:\n"
       << "  cpu_share: 0.2\n  cores: 1\n  memory_mb: 260\n  max_fds: 4100\n"
       << "  link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\n"
       << "discovery: \"static\"\nentry: \"static\"\nbeat: \"1500ms\"\n"
       << "contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n"
       << "  - \"cost\"\n  - \"retry\"\n  - \"recover\"\n  - \"rollout\"\n"
       << "  - \"platform\"\nfault_tolerance:\n  machines: 2\n  zones: 1\n"
       << "  regions: 0\nbounds:\n  seed_lag: \"3s\"\n  reuse_after: \"2s\"\n"
       << "  stable_window: \"3000ms\"\n  ack: \"4000ms\"\n"
       << "  catch_up: \"4s\"\n  drain: \"2000ms\"\n  grace: \"6s\"\n"
       << "  loss_slack: \"200ms\"\n  config: \"2000ms\"\n"
       << "  back: \"250ms\"\n  outer: \"5000ms\"\n  budget_ratio: 0.2\n"
       << "  budget_window: \"10s\"\n  budget_slack: 60\n"
       << "  expose_share: 0.1\n  expose_slack: 50\n"
       << "  rollback: \"5000ms\"\n  recover: \"15s\"\n"
       << "app_addr: " << quoted(of.app.Text())
       << "service: " << quoted(of.service) << "provider:\n"
       << "  address: " << quoted(of.store.Text())
       << "  form: \"objects\"\n  writes_per_s: 400\n  reads_per_s: 2000\n"
       << "  history: \"20s\"\n  value_bytes: 1048576\n  ttl_min: \"1000ms\"\n";
}

void mesh::StartProxy(std::size_t index) {
  const machine& of = machines_[index];
  WriteSettings(of);
  const std::string output = folder_ + "/" + of.name + ".log";
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
  ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const char* const program_override = std::getenv("REVIEW_PROGRAM");
  std::string program =
      program_override != nullptr ? program_override : "target/src/fireflyspar";
  std::string role = "proxy";
  std::string boot = "FIREFLYSPAR_BOOT=" + folder_ + "/" + of.name + ".yaml";
  std::string path = "PATH=/usr/bin:/bin";
  std::array<char*, 3> arguments = {program.data(), role.data(), nullptr};
  std::array<char*, 3> variables = {boot.data(), path.data(), nullptr};
  const int error = ::posix_spawn(&proxies_[index], program.c_str(), &actions,
                                  nullptr, arguments.data(), variables.data());
  ::posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("can't start " + program);
  log_.Line("proxy " + of.name + " started");
}

void mesh::KillProxy(std::size_t index) {
  const pid_t process = std::exchange(proxies_[index], 0);
  if (process == 0) return;
  ::kill(process, SIGKILL);
  ::waitpid(process, nullptr, 0);
  log_.Line("proxy " + machines_[index].name + " killed");
}

void mesh::TerminateProxy(std::size_t index) {
  if (proxies_[index] == 0) return;
  ::kill(proxies_[index], SIGTERM);
  log_.Line("proxy " + machines_[index].name + " gets SIGTERM");
}

void mesh::AwaitEnd(std::size_t index) {
  const auto until = steady::now() + kGrace;
  while (proxies_[index] != 0 && steady::now() < until) {
    if (::waitpid(proxies_[index], nullptr, WNOHANG) > 0) {
      proxies_[index] = 0;
      log_.Line("proxy " + machines_[index].name + " has ended");
    }
    std::this_thread::sleep_for(kReadyPoll);
  }
  KillProxy(index);
}

bool mesh::AwaitReady(milliseconds timeout) {
  const auto until = steady::now() + timeout;
  request question(http::verb::get, "/ready", 11);
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    if (proxies_[i] == 0) continue;
    while (Call(machines_[i].ready, question, kReadyPoll * 4).status != 200) {
      if (steady::now() > until) return false;
      std::this_thread::sleep_for(kReadyPoll);
    }
  }
  log_.Line("all started proxies are ready");
  return true;
}

json Configuration(int version, const std::vector<route>& routes,
                   const std::vector<std::string>& services) {
  json listed = json::array();
  for (const route& each : routes) {
    listed.push_back({{"name", each.name},
                      {"host", kHost},
                      {"path_prefix", each.path_prefix},
                      {"service", each.service},
                      {"kind", each.is_safe ? "safe" : "unsafe"},
                      {"attempts", each.is_safe ? 2 : 1},
                      {"timeout", "1000ms"},
                      {"slo", "400ms"},
                      {"priority", 0}});
  }
  json named = json::array();
  for (const std::string& each : services) {
    named.push_back(
        {{"name", each}, {"health_path", "/healthz"}, {"max_conns", 120}});
  }
  return {{"version", "r" + std::to_string(version)},
          {"routes", listed},
          {"services", named},
          {"limits",
           {{"header_bytes", 16384},
            {"body_bytes", 1048576},
            {"header_timeout", "3s"},
            {"idle_timeout", "15s"}}}};
}

request ClientRequest(const std::string& id, const std::string& method,
                      const std::string& path, milliseconds deadline) {
  request message(http::string_to_verb(method), path, 11);
  message.set(http::field::host, kHost);
  message.set("Request-Id", id);
  message.set("Deadline-Ms", std::to_string(deadline.count()));
  if (method != "GET") message.body() = "{\"order\":\"" + id + "\"}";
  message.prepare_payload();
  return message;
}

call_result Ask(record& log, const machine& at, const request& message) {
  const std::string id(message["Request-Id"]);
  log.Line("client at " + at.name + " sends " + id + " " +
           std::string(message.method_string()) + " " +
           std::string(message.target()));
  constexpr milliseconds kPatience{3000};
  call_result got = Call(at.outbound, message, kPatience);
  log.Line("client at " + at.name + " has for " + id + ": " +
           (got.is_answered ? std::to_string(got.status) + " " + got.stamp
                            : got.detail));
  return got;
}

bool HasTrouble() {
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace review
