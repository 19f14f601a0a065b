// A stand-in of a backend server: it sends heartbeats to the proxy on its
// machine, and runs the requests that name it.
#ifndef FIREFLYSPAR_REVIEW_STANDINS_3_BACKEND_SERVER_H_
#define FIREFLYSPAR_REVIEW_STANDINS_3_BACKEND_SERVER_H_

#include <atomic>
#include <memory>
#include <vector>

#include "http.h"
#include "record.h"

namespace review {

struct server_options {
  address at;
  address control;  // Of the proxy on its machine.
  std::string id;
  std::string service;
  std::string version = "v1";
  std::string zone;
  int slots = 6;
  std::int64_t born_ms = 0;  // By the clock of its machine.
  milliseconds work{30};
  milliseconds beat{1500};
  record* log = nullptr;
};

struct server_run {
  std::string request_id;
  std::string target;
  double at = 0;  // Seconds of the record.
};

class backend_server {
 public:
  explicit backend_server(server_options options);
  ~backend_server();
  backend_server(const backend_server&) = delete;
  backend_server& operator=(const backend_server&) = delete;

  // Says that it leaves, without having reported `draining`. It sends no
  // heartbeats from then on and goes on serving. Returns whether the leave was
  // acknowledged.
  bool Leave();

  // Reports `draining` with its next heartbeat, at once. Returns whether that
  // was acknowledged.
  bool Drain();

  // Composes a heartbeat now that Deliver sends later: one that is held up on
  // its way.
  request ComposeHeartbeat();
  bool Deliver(const request& heartbeat);

  // Ends as by a crash: closes all connections and sends nothing.
  void Stop();

  std::vector<server_run> Runs();

 private:
  bool Post(const std::string& what, const request& message);
  void Beat();
  std::optional<response> Serve(const request& call);

  server_options options_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<server_run> runs_;
  int sequence_ = 0;
  bool is_draining_ = false;
  bool has_left_ = false;
  bool is_stopped_ = false;
  std::unique_ptr<http_server> server_;
  std::thread beating_;
};

// Unix time in milliseconds.
std::int64_t UnixMs();

}  // namespace review

#endif  // FIREFLYSPAR_REVIEW_STANDINS_3_BACKEND_SERVER_H_
