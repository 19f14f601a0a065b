// A stand-in for a backend server: slots, cold start, drain, shedding, and
// versions that are bad in ways that a switch chooses. It counts every run of
// every request id, so that tests judge by what really ran.
#ifndef FIREFLYSPAR_LAB_BACKEND_SERVER_H_
#define FIREFLYSPAR_LAB_BACKEND_SERVER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/result.h"

namespace fireflyspar::lab {

struct backend_server_options {
  base::address address{.ip = "127.0.0.1"};
  base::address node_address;  // Announced to; port 0: nowhere.
  std::string name = "server";
  std::string service;
  std::string version = "v1";
  int slots = 6;
  int workers = 2;
  std::chrono::milliseconds work{0};  // For each request.
  int body_bytes = 0;                 // Added to each answer.
  std::chrono::milliseconds cold{0};  // Announced as starting this long.
  int cold_factor = 1;                // On the work while cold.
  int shed_above = 0;    // Refuses requests over this many; 0: never.
  int fail_percent = 0;  // Answered with 500 after running.
  int cut_percent = 0;   // Answers cut short after running.
  int hang_percent = 0;  // Never answered after running.
  std::string bad_path;  // Only paths that begin so are bad; empty: all.
  std::chrono::milliseconds slow{0};       // Added to bad requests.
  std::chrono::milliseconds bad_after{0};  // Since the start.
  int bad_above = 0;  // Bad only with more than this many running.
};

// What a server counted.
struct run_counts {
  std::int64_t total = 0;
  std::vector<std::string> repeated;  // Request ids that ran more than once.
};

class backend_server {
 public:
  explicit backend_server(backend_server_options options);
  ~backend_server();
  backend_server(const backend_server&) = delete;
  backend_server& operator=(const backend_server&) = delete;

  base::status Start();

  // Announces that it is leaving; keeps serving what comes.
  void Drain();

  // Requests running now.
  int Running() const;

  base::address Address() const;
  run_counts Runs() const;
  std::int64_t RunsOf(const std::string& request_id) const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

// The subcommand `backend-server`: runs one until SIGTERM, then drains it.
int RunBackendServer(std::span<const std::string> arguments);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_BACKEND_SERVER_H_
