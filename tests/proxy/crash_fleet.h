// A small fleet on the loopback, in one process: on each instance a router, a
// gate and a stand-in server that some requests crash, for the tests of what
// such requests may do. The server is back, under a new id, after a pause.
#ifndef FIREFLYSPAR_TESTS_PROXY_CRASH_FLEET_H_
#define FIREFLYSPAR_TESTS_PROXY_CRASH_FLEET_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "backend_servers/http.h"
#include "crash_server.h"
#include "decisions/crash_suspects.h"
#include "decisions/server_directory.h"
#include "proxy/listener.h"

namespace fireflyspar::proxy {

struct crash_fleet_options {
  int instances = 5;
  int services = 1;  // Instances are shared out between them in turn.
  crash_server_options server;
  int max_attempts = 2;
};

// An answer to a caller.
struct caller_answer {
  unsigned status = 0;
  std::chrono::milliseconds took{};
  std::string retry_after;
  std::string not_run;  // What the answer promises.
};

class crash_fleet {
 public:
  explicit crash_fleet(crash_fleet_options options);
  ~crash_fleet();

  // Begins a GET of the target at an instance; each has an id of its own.
  void BeginRequest(int instance, const std::string& target,
                    std::function<void(const caller_answer&)> on_end,
                    const std::string& body = "", const std::string& id = "");

  // Sends the request and waits for its answer.
  caller_answer Send(int instance, const std::string& target,
                     const std::string& body = "", const std::string& id = "");

  // Begins the request, and its caller leaves after `patience`.
  void SendAndLeave(int instance, const std::string& target,
                    std::chrono::milliseconds patience);

  void RunFor(std::chrono::milliseconds span);

  // Replaces the instance's process by a new one that knows only the entries.
  void RestartProcess(int instance);

  crash_server& Server(int instance);

  // Returns how often requests with this target reached servers.
  int ArrivalsOf(std::string_view target) const;

  // Returns how many servers have ended so far.
  int Ends() const;

  // Returns how many servers are up.
  int ServersUp() const;

  // Returns what the instance's process knows of requests that end servers.
  const decisions::crash_suspects& Suspects(int instance) const;

  // Returns the instance whose server runs the request with this id.
  int InstanceRunning(std::string_view id) const;

  // Cuts the instance's gate off from all others, or heals that.
  void SetCutOff(int instance, bool is_cut_off);

  // Returns the lines that all processes have written.
  const std::string& Log() const { return log_text_; }

 private:
  struct process;

  std::shared_ptr<served_call> MakeCall(const std::string& target,
                                        const std::string& body,
                                        const std::string& id);

  decisions::server_entry EntryOf(int instance) const;
  std::string ServiceOf(int instance) const;
  void StartProcess(int instance);
  void OnServerStart(int instance);

  crash_fleet_options options_;
  net::io_context loop_;
  std::string log_text_;
  std::vector<std::unique_ptr<crash_server>> servers_;  // By instance.
  std::vector<std::unique_ptr<process>> processes_;     // By instance.
  // Processes that were replaced; their requests may still run.
  std::vector<std::unique_ptr<process>> replaced_;
  int last_id_ = 0;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_TESTS_PROXY_CRASH_FLEET_H_
