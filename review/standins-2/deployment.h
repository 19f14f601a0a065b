// A small deployment on loopback addresses: the store's stand-in, and machines
// with a proxy and a backend server each. The proxies are processes of their
// own, started with the command of the deploy file.
#ifndef FIREFLYSPAR_REVIEW_STANDINS_2_DEPLOYMENT_H_
#define FIREFLYSPAR_REVIEW_STANDINS_2_DEPLOYMENT_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "store.h"

namespace fireflyspar::review {

// The file record.txt of a case. Each line begins with the seconds since the
// start.
class record {
 public:
  explicit record(const std::string& folder);

  void Write(const std::string& line);

 private:
  steady::time_point begun_ = steady::now();
  std::mutex mutex_;  // Protects the file.
  std::ofstream file_;
};

struct machine_options {
  std::string name;
  std::string zone;
  std::string service;
  int slots = 8;
  std::string version = "v1";  // Of its server.
  bool is_added_later = false;
};

// A request that a backend server works on.
struct server_work {
  const http_message* request = nullptr;
  std::string server_id;
  milliseconds left{};  // Of the request's time.
  endpoint outbound;    // For calls of the server.
};

// What a backend server does with a request that it runs.
using server_job = std::function<http_message(const server_work& work)>;

// How a backend server starts.
struct server_start {
  milliseconds first_beat{0};  // From listening to the first heartbeat.
  milliseconds cold_time{0};   // Before it looks at a request.
};

// A stand-in for a backend server. It reports every `beat`.
class backend_server {
 public:
  struct options {
    endpoint address;
    endpoint control;
    endpoint outbound;
    std::string id;
    machine_options machine;
    milliseconds beat{1000};
    server_start start;
    server_job job;
    record* log = nullptr;
  };

  explicit backend_server(options given);
  ~backend_server() { End(); }

  bool Start();
  // Reports that the server is draining. Returns whether that was acknowledged.
  bool Drain();
  // Says that the server leaves. Returns whether that was acknowledged.
  bool Leave();
  // Sends no heartbeats from now on.
  void StopReports() { has_stopped_reports_ = true; }
  // Makes the next heartbeat, to be sent later.
  std::string MakeHeartbeat();
  // Sends a heartbeat. Returns whether it was acknowledged.
  bool SendHeartbeat(const std::string& body);
  // Ends without a word.
  void End();

  // The Unix time in milliseconds at which this start began.
  std::int64_t BornMs() const { return born_ms_; }
  int Runs() const { return runs_; }
  // When the first heartbeat was acknowledged; nothing before.
  std::optional<steady::time_point> AcknowledgedAt();

 private:
  http_message Serve(const http_message& request);
  bool Report();
  void ReportUntilEnd();

  options options_;
  std::int64_t born_ms_ = 0;
  std::atomic<int> runs_ = 0;
  std::atomic<bool> has_ended_ = false;
  std::atomic<bool> has_stopped_reports_ = false;
  std::mutex mutex_;  // Protects the members below.
  bool is_draining_ = false;
  int sequence_ = 0;
  std::optional<steady::time_point> acknowledged_at_;
  std::unique_ptr<http_server> server_;
  std::thread reporter_;
};

class machine {
 public:
  machine(machine_options options, std::string ip, int first_port);

  const machine_options& Options() const { return options_; }
  endpoint At(int offset) const { return {.ip = ip_, .port = port_ + offset}; }
  endpoint Inbound() const { return At(0); }
  endpoint Outbound() const { return At(1); }
  endpoint Ready() const { return At(2); }
  endpoint Control() const { return At(3); }
  endpoint Server() const { return At(4); }
  int FirstInternalPort() const { return port_ + 5; }
  const std::string& Ip() const { return ip_; }

 private:
  machine_options options_;
  std::string ip_;
  int port_;
};

struct deployment_options {
  std::vector<machine_options> machines;
  nlohmann::json configuration;  // The first one.
};

class deployment {
 public:
  deployment(deployment_options options, record* log);
  ~deployment();

  // Starts the store and the proxies, and waits until the proxies are ready.
  // Those of machines that are added later are not started.
  bool Start();

  // Starts the proxy of the machine at `index`.
  bool StartProxy(std::size_t index);

  // Kills the proxy of the machine at `index`.
  void KillProxy(std::size_t index);

  // Stops the proxy of the machine at `index` with SIGTERM, and waits until it
  // has ended.
  void StopProxy(std::size_t index);

  store& Store() { return *store_; }

  // Starts the backend server of the machine at `index`.
  std::unique_ptr<backend_server> StartServer(std::size_t index,
                                              const std::string& id,
                                              server_job job,
                                              const server_start& start = {});

  // Waits until the store holds an entry for each machine.
  bool WaitForEntries(std::size_t count);

  // Puts a configuration in force.
  void Configure(const nlohmann::json& configuration);

  const machine& At(std::size_t index) const { return machines_[index]; }

  // Returns whether all proxies that were not killed still run.
  bool AllRun();

 private:
  bool FindPorts();
  std::string SettingsOf(const machine& of) const;

  deployment_options options_;
  record* log_;
  std::string folder_;  // Temporary.
  endpoint store_address_;
  std::vector<machine> machines_;
  std::unique_ptr<store> store_;
  std::map<std::size_t, pid_t> proxies_;  // By machine.
};

// One route of a configuration.
struct route_options {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string kind = "safe";
  std::string service;
  std::string timeout = "2000ms";
  int attempts = 2;
};

struct tenant_options {
  std::string name;
  std::string key;
};

// Makes a configuration in the shape of deploy/wire.toml.
nlohmann::json MakeConfiguration(int version,
                                 const std::vector<route_options>& routes,
                                 const std::vector<std::string>& services,
                                 const std::vector<tenant_options>& tenants);

// A client's request on a route. Each has an id of its own.
http_message MakeRequest(const route_options& route, const std::string& path,
                         const std::string& method, milliseconds deadline);

// Returns a new request id.
std::string NewId();

// Returns the answer with which a server ends a run well or badly.
http_message ServerAnswer(const server_work& work, int status,
                          const std::string& body);

// Returns whether the answer is a success with a server's stamp.
bool IsServed(const std::optional<http_message>& answer);

// Returns the answer's status for the record; "none" if there is none.
std::string StatusText(const std::optional<http_message>& answer);

// Returns whether the case runs with its disruption.
bool HasTrouble();

// The exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

}  // namespace fireflyspar::review

#endif  // FIREFLYSPAR_REVIEW_STANDINS_2_DEPLOYMENT_H_
