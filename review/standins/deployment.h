// A small deployment on loopback addresses: for each machine a proxy, which is
// the program of the deploy file in a process of its own, and an application
// server; and the platform's store.
#ifndef FIREFLYSPAR_REVIEW_STANDINS_DEPLOYMENT_H_
#define FIREFLYSPAR_REVIEW_STANDINS_DEPLOYMENT_H_

#include <sys/types.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"
#include "server.h"
#include "store.h"

namespace fireflyspar::review {

struct machine {
  std::string name;
  std::string zone;
  std::string service;
  std::string ip;
  bool is_first_start = true;

  endpoint Callers() const { return {ip, 8629}; }
  endpoint Readiness() const { return {ip, 8625}; }
  endpoint Control() const { return {ip, 8620}; }
  endpoint Server() const { return {ip, 8628}; }
  endpoint Store() const { return {ip, 8627}; }
};

struct caller_request {
  std::string id;
  std::string method = "POST";
  std::string host;
  std::string path;
  std::string body;
  std::string key;  // Empty: the request carries none.
  milliseconds deadline{1000};
};

struct caller_answer {
  int status = 0;  // 0: none came.
  milliseconds retry_after{0};
};

class deployment {
 public:
  // `more_bounds` are lines of the settings' bounds.
  deployment(record& log, std::string more_bounds);
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  // Ends the proxies and removes the temporary files. The deployment itself
  // must live as long as the process, since its threads do.
  void Stop();

  // Starts the machine's proxy and its server, whose id, service, zone and
  // addresses are set here.
  void Add(const std::string& name, const std::string& zone,
           const std::string& service, bool is_first_start,
           server_options server);
  // Sends the signal to the proxy on the machine with this index.
  void Signal(std::size_t index, int signal) const;
  // Throws if a proxy is not ready in time.
  void AwaitReady(milliseconds timeout) const;

  store& Store() { return store_; }
  const std::vector<machine>& Machines() const { return machines_; }

  // Sends the request to the proxy on the machine and awaits its answer; on
  // `kept`, if that is an open connection, and else on a new one that is stored
  // in `kept` as long as it can be used again.
  caller_answer Send(const machine& from, const caller_request& request,
                     connection_ptr& kept);

 private:
  std::string SettingsOf(const machine& of) const;
  void StartProxy(const machine& of);

  record& log_;
  std::string more_bounds_;
  std::string folder_;
  std::string network_;  // The first three numbers of all addresses.
  store store_;
  std::vector<machine> machines_;
  std::vector<std::unique_ptr<app_server>> servers_;
  std::vector<pid_t> proxies_;
};

// Returns a list of the configuration as the platform writes it.
nlohmann::json Table(std::vector<std::string> columns,
                     std::vector<nlohmann::json> rows);

// Returns whether the disruption takes place: the variable TROUBLE is not 0.
bool HasTrouble();

// Runs the case and ends the process with its result: 1 if the rule was broken,
// 0 if it held, 2 if the case couldn't run. `check` returns whether it held.
[[noreturn]] void RunCase(const std::function<bool()>& check);

}  // namespace fireflyspar::review

#endif  // FIREFLYSPAR_REVIEW_STANDINS_DEPLOYMENT_H_
