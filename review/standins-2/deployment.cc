#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <random>
#include <sstream>
#include <utility>

namespace fireflyspar::review {
namespace {

using nlohmann::json;

constexpr char kProxyProgram[] = "target/src/fireflyspar";
constexpr char kSettingsVariable[] = "FIREFLYSPAR_BOOT";

// The ports of a machine, one after the other.
constexpr int kPortsOfMachine = 24;

constexpr milliseconds kStartTime{15'000};
constexpr milliseconds kReportTimeout{1000};
constexpr milliseconds kPoll{20};

constexpr int kOk = 200;

std::mt19937_64& Random() {
  static std::mt19937_64 random{std::random_device{}()};
  return random;
}

void Sleep(milliseconds span) { std::this_thread::sleep_for(span); }

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Makes the process of a proxy; does not return in the new process.
pid_t Spawn(const std::string& settings, const std::string& output) {
  const pid_t child = ::fork();
  if (child != 0) return child;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(file, STDOUT_FILENO);
  ::dup2(file, STDERR_FILENO);
  ::setenv(kSettingsVariable, settings.c_str(), 1);
  ::execl(kProxyProgram, kProxyProgram, "proxy", nullptr);
  ::_exit(127);
}

}  // namespace

record::record(const std::string& folder) : file_(folder + "/record.txt") {}

void record::Write(const std::string& line) {
  const std::chrono::duration<double> since = steady::now() - begun_;
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%8.3f ", since.count());
  const std::lock_guard lock(mutex_);
  file_ << time.data() << line << '\n' << std::flush;
}

backend_server::backend_server(options given)
    : options_(std::move(given)), born_ms_(UnixMs()) {}

bool backend_server::Start() {
  server_ = std::make_unique<http_server>(
      options_.address,
      [this](const http_message& request) -> std::optional<http_message> {
        if (has_ended_) return std::nullopt;
        return Serve(request);
      });
  if (!server_->Start()) return false;
  options_.log->Write("server " + options_.id + " of " +
                      options_.machine.service + " starts, born " +
                      std::to_string(born_ms_));
  reporter_ = std::thread([this] { ReportUntilEnd(); });
  return true;
}

std::string backend_server::MakeHeartbeat() {
  json status;
  {
    const std::lock_guard lock(mutex_);
    status = {{"state", is_draining_ ? "draining" : "ready"},
              {"seq", ++sequence_},
              {"cold_left", "0ms"}};
  }
  const json body = {{"address", options_.address.Text()},
                     {"born", born_ms_},
                     {"info",
                      {{"service", options_.machine.service},
                       {"version", options_.machine.version},
                       {"zone", options_.machine.zone},
                       {"slots", options_.machine.slots}}},
                     {"status", status}};
  return EncodeBody(body);
}

bool backend_server::SendHeartbeat(const std::string& body) {
  const auto answer =
      Call(options_.control,
           {.method = "POST",
            .target = "/instances/" + options_.id + "/heartbeat",
            .headers = {{"Host", options_.control.Text()},
                        {"Content-Type", "application/cbor"}},
            .body = body},
           kReportTimeout);
  return answer && answer->status == kOk;
}

bool backend_server::Report() {
  const bool is_acknowledged = SendHeartbeat(MakeHeartbeat());
  const std::lock_guard lock(mutex_);
  if (is_acknowledged && !acknowledged_at_) {
    acknowledged_at_ = steady::now();
    options_.log->Write("server " + options_.id + " born " +
                        std::to_string(born_ms_) +
                        ": first heartbeat acknowledged");
  }
  return is_acknowledged;
}

void backend_server::ReportUntilEnd() {
  Sleep(options_.start.first_beat);
  while (!has_ended_) {
    if (!has_stopped_reports_) Report();
    const auto next = steady::now() + options_.beat;
    while (!has_ended_ && steady::now() < next) Sleep(kPoll);
  }
}

bool backend_server::Drain() {
  {
    const std::lock_guard lock(mutex_);
    is_draining_ = true;
  }
  const bool is_acknowledged = Report();
  options_.log->Write("server " + options_.id + " reports draining: " +
                      (is_acknowledged ? "acknowledged" : "no answer"));
  return is_acknowledged;
}

bool backend_server::Leave() {
  const auto answer = Call(options_.control,
                           {.method = "POST",
                            .target = "/instances/" + options_.id + "/leave",
                            .headers = {{"Host", options_.control.Text()},
                                        {"Content-Type", "application/cbor"}},
                            .body = EncodeBody({{"born", born_ms_}})},
                           kReportTimeout);
  return answer && answer->status == kOk;
}

void backend_server::End() {
  if (has_ended_.exchange(true)) return;
  if (reporter_.joinable()) reporter_.join();
  if (server_) server_->Stop();
  options_.log->Write("server " + options_.id + " has ended");
}

std::optional<steady::time_point> backend_server::AcknowledgedAt() {
  const std::lock_guard lock(mutex_);
  return acknowledged_at_;
}

http_message backend_server::Serve(const http_message& request) {
  if (PathOf(request) == "/healthz") {
    return {.status = kOk, .headers = {{"Instance-Id", options_.id}}};
  }
  Sleep(options_.start.cold_time);
  const std::string expected = request.Header("Expect-Instance");
  if (!expected.empty() && expected != options_.id) {
    return {.status = 421, .headers = {{"Instance-Id", options_.id}}};
  }
  const std::string id = request.Header("Request-Id");
  if (id.empty()) return {.status = 400, .headers = {{"Not-Executed", "1"}}};
  ++runs_;
  const std::string left = request.Header("Deadline-Ms");
  options_.log->Write("server " + options_.id + " runs " + id + " " +
                      request.method + " " + request.target + ", " +
                      std::to_string(request.body.size()) + " bytes");
  const server_work work{
      .request = &request,
      .server_id = options_.id,
      .left = milliseconds(left.empty() ? 0 : std::stoll(left)),
      .outbound = options_.outbound};
  const http_message answer = options_.job(work);
  options_.log->Write("server " + options_.id + " ends " + id + " with " +
                      std::to_string(answer.status));
  return answer;
}

machine::machine(machine_options options, std::string ip, int first_port)
    : options_(std::move(options)), ip_(std::move(ip)), port_(first_port) {}

deployment::deployment(deployment_options options, record* log)
    : options_(std::move(options)), log_(log) {}

deployment::~deployment() {
  for (const auto& [index, each] : proxies_) ::kill(each, SIGKILL);
  for (const auto& [index, each] : proxies_) ::waitpid(each, nullptr, 0);
  if (store_) store_->Stop();
  std::error_code ignored;
  if (!folder_.empty()) std::filesystem::remove_all(folder_, ignored);
}

// Finds loopback addresses on which all ports of the deployment are free.
bool deployment::FindPorts() {
  constexpr int kTries = 50;
  constexpr int kMetricsPort = 9464;
  for (int tries = 0; tries < kTries; ++tries) {
    const std::string net = "127." + std::to_string(10 + Random()() % 200) +
                            "." + std::to_string(Random()() % 250) + ".";
    const int port = 20'000 + static_cast<int>(Random()() % 10'000);
    store_address_ = {.ip = net + "1", .port = port};
    machines_.clear();
    bool is_free = IsFree(store_address_);
    int last = 10;
    for (const machine_options& each : options_.machines) {
      machines_.emplace_back(each, net + std::to_string(last++), port);
      const machine& added = machines_.back();
      is_free = is_free && IsFree({.ip = added.Ip(), .port = kMetricsPort});
      for (int i = 0; i < kPortsOfMachine; ++i) {
        is_free = is_free && IsFree(added.At(i));
      }
    }
    if (is_free) return true;
  }
  return false;
}

std::string deployment::SettingsOf(const machine& of) const {
  std::set<std::string> zones;
  for (const machine_options& each : options_.machines) zones.insert(each.zone);
  std::ostringstream text;
  text << "node: \"" << of.Options().name << "\"\nrole: \"proxy\"\n"
       << "machine_class: \"sidecar\"\nserves:\n  - \"sidecar\"\n"
       << "ip: \"" << of.Ip() << "\"\nzone: \"" << of.Options().zone << "\"\n"
       << "region: \"region-1\"\nzones:\n";
  for (const std::string& each : zones) {
    text << "  " << each << ": \"region-1\"\n";
  }
  text << "listen:\n  inbound: \"" << of.Inbound().Text()
       << "\"\n  outbound: \"" << of.Outbound().Text() << "\"\n  ready: \""
       << of.Ready().Text() << "\"\n  control: \"" << of.Control().Text()
       << "\"\ninternal_ports:\n  - " << of.FirstInternalPort() << "\n  - "
       << of.FirstInternalPort() + 15
       << "\nseeds: []\nbootstrap: true\ncounts_loss: false\n"
       << "limits:\n  cpu_share: 0.2\n  cores: 1\n  memory_mb: 260\n"
       << "  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n"
       << "data_dir: null\ndiscovery: \"static\"\nentry: \"static\"\n"
       << "beat: \"1000ms\"\n"
       << "fault_tolerance:\n  machines: 2\n  zones: 1\n  regions: 0\n"
       << "bounds:\n  seed_lag: \"3s\"\n  reuse_after: \"2s\"\n"
       << "  stable_window: \"3000ms\"\n  ack: \"4000ms\"\n"
       << "  catch_up: \"4s\"\n  drain: \"2000ms\"\n  grace: \"6s\"\n"
       << "  loss_slack: \"200ms\"\n  config: \"2000ms\"\n"
       << "  back: \"250ms\"\n  outer: \"5000ms\"\n  budget_ratio: 0.2\n"
       << "  budget_window: \"10s\"\n  budget_slack: 60\n"
       << "  expose_share: 0.1\n  expose_slack: 50\n"
       << "  rollback: \"5000ms\"\n  recover: \"15s\"\n"
       << "app_addr: \"" << of.Server().Text() << "\"\nservice: \""
       << of.Options().service << "\"\nprovider:\n  address: \""
       << store_address_.Text()
       << "\"\n  form: \"objects\"\n  writes_per_s: 400\n"
       << "  reads_per_s: 2000\n  history: \"20s\"\n"
       << "  value_bytes: 1048576\n  ttl_min: \"1000ms\"\n";
  return text.str();
}

bool deployment::StartProxy(std::size_t index) {
  const machine& of = machines_[index];
  const std::string settings = folder_ + "/" + of.Options().name + ".yaml";
  std::ofstream(settings) << SettingsOf(of);
  const pid_t started =
      Spawn(settings, folder_ + "/" + of.Options().name + ".log");
  if (started < 0) return false;
  proxies_[index] = started;
  log_->Write("the proxy of " + of.Options().name + " starts");
  return true;
}

void deployment::KillProxy(std::size_t index) {
  const auto found = proxies_.find(index);
  if (found == proxies_.end()) return;
  ::kill(found->second, SIGKILL);
  ::waitpid(found->second, nullptr, 0);
  proxies_.erase(found);
  log_->Write("the proxy of " + machines_[index].Options().name + " is killed");
}

void deployment::StopProxy(std::size_t index) {
  const auto found = proxies_.find(index);
  if (found == proxies_.end()) return;
  log_->Write("the proxy of " + machines_[index].Options().name +
              " gets SIGTERM");
  ::kill(found->second, SIGTERM);
  ::waitpid(found->second, nullptr, 0);
  proxies_.erase(found);
  log_->Write("the proxy of " + machines_[index].Options().name + " has ended");
}

bool deployment::Start() {
  if (::access(kProxyProgram, X_OK) != 0) return false;
  std::string name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) return false;
  folder_ = name;
  if (!FindPorts()) return false;
  store_ = std::make_unique<store>(store_address_);
  if (!store_->Start()) return false;
  Configure(options_.configuration);
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    if (machines_[i].Options().is_added_later) continue;
    if (!StartProxy(i)) return false;
  }
  const auto deadline = steady::now() + kStartTime;
  const http_message question{.method = "GET", .target = "/ready"};
  for (const machine& each : machines_) {
    while (!each.Options().is_added_later) {
      const auto answer = Call(each.Ready(), question, kReportTimeout);
      if (answer && answer->status == kOk) break;
      if (steady::now() > deadline) return false;
      Sleep(kPoll);
    }
  }
  log_->Write("all proxies are ready");
  return true;
}

std::unique_ptr<backend_server> deployment::StartServer(
    std::size_t index, const std::string& id, server_job job,
    const server_start& start) {
  const machine& at = machines_[index];
  auto started = std::make_unique<backend_server>(
      backend_server::options{.address = at.Server(),
                              .control = at.Control(),
                              .outbound = at.Outbound(),
                              .id = id,
                              .machine = at.Options(),
                              .start = start,
                              .job = std::move(job),
                              .log = log_});
  if (!started->Start()) return nullptr;
  return started;
}

bool deployment::WaitForEntries(std::size_t count) {
  const auto deadline = steady::now() + kStartTime;
  while (store_->Names("backend-servers").size() < count) {
    if (steady::now() > deadline) return false;
    Sleep(kPoll);
  }
  // All proxies read the entries within this time.
  constexpr milliseconds kReadTime{3500};
  Sleep(kReadTime);
  return true;
}

void deployment::Configure(const json& configuration) {
  store_->Write("config", "main", configuration);
  log_->Write("the operator's configuration " +
              configuration["version"].get<std::string>() + " is acknowledged");
}

bool deployment::AllRun() {
  return std::ranges::none_of(proxies_, [](const auto& each) {
    return ::waitpid(each.second, nullptr, WNOHANG) != 0;
  });
}

json MakeConfiguration(int version, const std::vector<route_options>& routes,
                       const std::vector<std::string>& services,
                       const std::vector<tenant_options>& tenants) {
  json route_rows = json::array();
  for (const route_options& each : routes) {
    route_rows.push_back({each.name, each.host, each.path_prefix, each.kind,
                          each.timeout, "600ms", 1, each.service, each.attempts,
                          false, nullptr});
  }
  json service_rows = json::array();
  for (const std::string& each : services) {
    service_rows.push_back({each, "/healthz", 120, "h1", false});
  }
  json made = {
      {"version", "r" + std::to_string(version)},
      {"routes",
       {{"columns",
         {"name", "host", "path_prefix", "kind", "timeout", "slo", "priority",
          "service", "attempts", "public", "traffic_split"}},
        {"rows", route_rows}}},
      {"services",
       {{"columns", {"name", "health_path", "max_conns", "protocol", "tls"}},
        {"rows", service_rows}}},
      {"limits",
       {{"header_bytes", 16'384},
        {"body_bytes", 67'108'864},
        {"header_timeout", "3000ms"},
        {"idle_timeout", "15000ms"}}}};
  if (tenants.empty()) return made;
  json tenant_rows = json::array();
  for (const tenant_options& each : tenants) {
    tenant_rows.push_back({each.name, json::array({each.key}), 1, 0, 0});
  }
  made["tenants"] = {
      {"columns", {"name", "api_keys", "priority", "rate_per_s", "burst"}},
      {"rows", tenant_rows}};
  return made;
}

std::string NewId() {
  static std::mutex mutex;
  const std::lock_guard lock(mutex);
  std::ostringstream text;
  constexpr int kDigits = 16;
  text << std::hex << std::setw(kDigits) << std::setfill('0') << Random()();
  return text.str();
}

http_message MakeRequest(const route_options& route, const std::string& path,
                         const std::string& method, milliseconds deadline) {
  return {.method = method,
          .target = path,
          .headers = {{"Host", route.host},
                      {"Request-Id", NewId()},
                      {"Deadline-Ms", std::to_string(deadline.count())}}};
}

http_message ServerAnswer(const server_work& work, int status,
                          const std::string& body) {
  const std::string id = work.request->Header("Request-Id");
  return {.status = status,
          .headers = {{"Request-Id", id},
                      {"Response-Stamp", work.server_id + "." + id}},
          .body = body};
}

bool IsServed(const std::optional<http_message>& answer) {
  return answer && answer->status == kOk &&
         !answer->Header("Response-Stamp").empty();
}

std::string StatusText(const std::optional<http_message>& answer) {
  return answer ? std::to_string(answer->status) : "none";
}

bool HasTrouble() {
  const char* const text = std::getenv("TROUBLE");
  return text == nullptr || std::string_view(text) != "0";
}

}  // namespace fireflyspar::review
