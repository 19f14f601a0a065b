// A few nodes with stand-in servers in one process, on loopback. Instead of
// running a mesh they share one view of the fleet.
#ifndef FIREFLYSPAR_TESTS_CALLERS_SMALL_FLEET_H_
#define FIREFLYSPAR_TESTS_CALLERS_SMALL_FLEET_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "backend_servers/http.h"
#include "callers/call_path.h"
#include "config/preset.h"
#include "lab/backend_server.h"

namespace fireflyspar::callers {

// Returns a preset of one service "stock" with an outside route /stock, an
// inside-only route /crates and an at-most-once route /orders.
config::preset SmallPreset();

struct small_node_options {
  std::string id;
  std::string data_centre = "north";
  lab::backend_server_options server{.service = "stock"};
  // The address to which the gate sends requests. Port 0: that of `server`.
  base::address server_address;
  std::chrono::milliseconds read_timeout{10'000};
};

class small_fleet {
 public:
  explicit small_fleet(std::vector<small_node_options> nodes,
                       config::preset preset = SmallPreset());
  ~small_fleet();

  struct node {
    small_node_options options;
    std::unique_ptr<lab::backend_server> server;
    std::unique_ptr<base::metrics> metrics;
    std::unique_ptr<backend_servers::gate> gate;
    std::unique_ptr<call_path> path;
  };

  node& At(std::size_t index) { return *nodes_[index]; }

  // Changes the view that the nodes share.
  void Edit(const std::function<void(decisions::fleet_view&)>& edit);
  decisions::fleet_view_ptr View() const;

  // The nodes' clock: the system's clock plus the offset that AdvanceClock
  // adds.
  base::clock_hook clock = [this, system_clock = base::SystemClock()] {
    return system_clock() + base::duration(clock_offset_.load());
  };
  void AdvanceClock(base::duration by) { clock_offset_ += by.count(); }

  // Returns the call outcomes that the nodes reported.
  std::vector<decisions::call_outcome> Outcomes() const;

 private:
  void Start(node& starting);

  std::atomic<std::int64_t> clock_offset_{0};  // Microseconds.
  mutable std::mutex mutex_;
  decisions::fleet_view_ptr view_;
  std::vector<decisions::call_outcome> outcomes_;
  std::vector<std::unique_ptr<node>> nodes_;
};

// Sends one request on a new connection and returns the whole answer.
backend_servers::http_response CallOnce(const base::address& to,
                                        backend_servers::http_request request);

backend_servers::http_request Get(const std::string& target);
backend_servers::http_request Post(const std::string& target,
                                   const std::string& body);

// Sends the bytes unchanged on a new connection and returns everything received
// until the peer closes it.
std::string SendBytes(const base::address& to, const std::string& bytes);

// Waits until the condition holds. Returns false after a generous timeout.
bool Eventually(const std::function<bool()>& condition);

}  // namespace fireflyspar::callers

#endif  // FIREFLYSPAR_TESTS_CALLERS_SMALL_FLEET_H_
