#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace fireflyspar::review {
namespace {

using nlohmann::json;

constexpr char kProgram[] = "target/src/fireflyspar";
constexpr char kRole[] = "proxy";

// The longest time for which a caller that is told when to come back waits.
constexpr double kMillisecondsPerSecond = 1000;

constexpr int kNetworks = 200;

std::string MakeFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("can't make a temporary folder");
  }
  return pattern;
}

std::string ChooseNetwork() {
  const auto pid = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(20 + pid % kNetworks) + "." +
         std::to_string(1 + pid / kNetworks % kNetworks) + ".";
}

}  // namespace

deployment::deployment(record& log, std::string more_bounds)
    : log_(log),
      more_bounds_(std::move(more_bounds)),
      folder_(MakeFolder()),
      network_(ChooseNetwork()) {}

void deployment::Stop() {
  for (const pid_t each : proxies_) ::kill(each, SIGKILL);
  for (const pid_t each : proxies_) ::waitpid(each, nullptr, 0);
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void deployment::Add(const std::string& name, const std::string& zone,
                     const std::string& service, bool is_first_start,
                     server_options server) {
  const machine added{.name = name,
                      .zone = zone,
                      .service = service,
                      .ip = network_ + std::to_string(machines_.size() + 1),
                      .is_first_start = is_first_start};
  machines_.push_back(added);
  store_.Serve(name, added.Store());
  server.id = "i-" + name;
  server.service = service;
  server.zone = zone;
  server.address = added.Server();
  server.control = added.Control();
  server.log = &log_;
  StartProxy(added);
  servers_.push_back(std::make_unique<app_server>(std::move(server)));
  servers_.back()->Start();
}

void deployment::StartProxy(const machine& of) {
  const std::string settings = folder_ + "/" + of.name + ".yaml";
  std::ofstream(settings) << SettingsOf(of);
  const std::string output = folder_ + "/" + of.name + ".log";
  const std::string variable = "FIREFLYSPAR_BOOT=" + settings;
  const pid_t child = ::fork();
  if (child < 0) throw std::runtime_error("can't start a process");
  if (child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int to = ::open(output.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
    ::dup2(to, STDOUT_FILENO);
    ::dup2(to, STDERR_FILENO);
    std::array<char*, 3> arguments = {const_cast<char*>(kProgram),
                                      const_cast<char*>(kRole), nullptr};
    std::array<char*, 2> variables = {const_cast<char*>(variable.c_str()),
                                      nullptr};
    ::execve(kProgram, arguments.data(), variables.data());
    ::_exit(127);
  }
  proxies_.push_back(child);
}

std::string deployment::SettingsOf(const machine& of) const {
  return "node: \"" + of.name + "\"\nrole: \"proxy\"\n" +
         "machine_class: \"sidecar\"\nserves:\n  - \"sidecar\"\nip: \"" +
         of.ip + "\"\nzone: \"" + of.zone +
         "\"\nregion: \"home\"\nzones:\n  zone-a: \"home\"\n"
         "  zone-b: \"home\"\n  zone-c: \"home\"\nlisten:\n  inbound: \"" +
         of.ip + ":8624\"\n  outbound: \"" + of.Callers().ToText() +
         "\"\n  ready: \"" + of.Readiness().ToText() + "\"\n  control: \"" +
         of.Control().ToText() +
         "\"\ninternal_ports:\n  - 7600\n  - 7615\nseeds: []\nbootstrap: " +
         (of.is_first_start ? "true" : "false") +
         "\nlimits:\n  cpu_share: 0.2\n  cores: 1\n  memory_mb: 260\n"
         "  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n"
         "beat: \"1500ms\"\nbounds:\n  seed_lag: \"3s\"\n"
         "  reuse_after: \"2s\"\n  stable_window: \"3000ms\"\n"
         "  ack: \"4000ms\"\n  drain: \"2000ms\"\n  grace: \"6s\"\n"
         "  loss_slack: \"200ms\"\n  config: \"2000ms\"\n  back: \"250ms\"\n"
         "  budget_ratio: 0.2\n  budget_window: \"10s\"\n"
         "  budget_slack: 60\n" +
         more_bounds_ + "app_addr: \"" + of.Server().ToText() +
         "\"\nservice: \"" + of.service + "\"\nprovider:\n  address: \"" +
         of.Store().ToText() +
         "\"\n  form: \"objects\"\n  writes_per_s: 400\n"
         "  reads_per_s: 2000\n  history: \"20s\"\n"
         "  value_bytes: 1048576\n";
}

void deployment::Signal(std::size_t index, int signal) const {
  ::kill(proxies_.at(index), signal);
}

void deployment::AwaitReady(milliseconds timeout) const {
  const auto until = steady::now() + timeout;
  message question;
  question.first_line = "GET /ready HTTP/1.1";
  question.headers = {{"Host", "ready"}, {"Connection", "close"}};
  for (const machine& each : machines_) {
    for (;;) {
      const auto answer = Ask(each.Readiness(), question, milliseconds(500));
      if (answer && answer->Status() == 200) break;
      if (steady::now() > until) {
        throw std::runtime_error(each.name + " is not ready");
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
  }
}

caller_answer deployment::Send(const machine& from,
                               const caller_request& request,
                               connection_ptr& kept) {
  message sent;
  sent.first_line = request.method + " " + request.path + " HTTP/1.1";
  sent.headers = {{"Host", request.host},
                  {"Request-Id", request.id},
                  {"Deadline-Ms", std::to_string(request.deadline.count())}};
  if (!request.key.empty()) {
    sent.headers.emplace_back("Authorization", "Bearer " + request.key);
  }
  sent.body = request.body;
  const auto until = steady::now() + request.deadline;
  log_.Add(fact_kind::kSent, request.id, "to " + from.name);
  if (kept == nullptr || !kept->IsOpen()) {
    kept = Connect(from.Callers(), milliseconds(1000));
  }
  std::optional<message> answer;
  if (kept != nullptr && kept->Write(ToBytes(sent))) answer = kept->Read(until);
  if (!answer || answer->Header("Connection") == "close") kept = nullptr;
  caller_answer received;
  if (answer) {
    received.status = answer->Status();
    received.retry_after = milliseconds(static_cast<std::int64_t>(
        std::atof(answer->Header("Retry-After").c_str()) *
        kMillisecondsPerSecond));
  }
  log_.Add(fact_kind::kAnswered, request.id, "from " + from.name,
           received.status);
  return received;
}

json Table(std::vector<std::string> columns, std::vector<json> rows) {
  return {{"columns", std::move(columns)}, {"rows", std::move(rows)}};
}

bool HasTrouble() {
  const char* const set = std::getenv("TROUBLE");
  return set == nullptr || std::string(set) != "0";
}

void RunCase(const std::function<bool()>& check) {
  int result = 2;
  try {
    result = check() ? 0 : 1;
  } catch (const std::exception& thrown) {
    std::cout << "could not run: " << thrown.what() << '\n';
  }
  std::cout << std::flush;
  // Threads of the stand-ins still run; they end with the process.
  ::_exit(result);
}

}  // namespace fireflyspar::review
