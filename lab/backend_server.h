// A stand-in for a backend server. It models slots, cold start, draining and
// load shedding, and its options make it behave as a faulty version. It counts
// how often each request id ran, so that tests can check what really ran.
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
  base::address node_address;  // Announcements go here; port 0: none are sent.
  std::string name = "server";
  std::string service;
  std::string version = "v1";
  int slots = 6;
  int workers = 2;
  std::chrono::milliseconds work{0};  // Processing time of each request.
  int body_bytes = 0;                 // Padding added to each answer.
  std::chrono::milliseconds cold{0};  // Time announced as starting.
  int cold_factor = 1;                // Multiplies the work while cold.
  int shed_above = 0;  // Sheds while this many are in flight; 0: never.

  // The faults of bad requests. All requests are bad by default.
  int fail_percent = 0;  // Percentage answered with 500 after running.
  int truncate_percent =
      0;                 // Percentage with a truncated answer after running.
  int hang_percent = 0;  // Percentage never answered after running.
  std::string
      bad_path_prefix;  // Path prefix of bad requests; empty: all paths.
  std::chrono::milliseconds slow{0};       // Delay added to bad requests.
  std::chrono::milliseconds bad_after{0};  // Bad from this time after start.
  int bad_above = 0;  // Bad only with more requests than this in flight.
};

// The requests that a server ran.
struct run_counts {
  std::int64_t total = 0;             // All runs.
  std::vector<std::string> repeated;  // Request ids that ran more than once.
};

class backend_server {
 public:
  explicit backend_server(backend_server_options options);
  ~backend_server();
  backend_server(const backend_server&) = delete;
  backend_server& operator=(const backend_server&) = delete;

  base::status Start();

  // Announces the draining state to the node; keeps serving requests.
  void Drain();

  // Returns the number of requests in flight.
  int InFlight() const;

  base::address Address() const;
  run_counts Runs() const;

  // Returns how often the request with this id ran.
  std::int64_t RunCount(const std::string& request_id) const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

// Implements the subcommand `backend-server`: runs a server until SIGTERM, then
// drains it.
int RunBackendServer(std::span<const std::string> arguments);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_BACKEND_SERVER_H_
