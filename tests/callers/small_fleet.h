// A few nodes with stand-in servers in one process, on loopback, that share one
// view of the fleet in place of a mesh.
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

// One service "stock" with an outside route /stock, an inside-only route
// /crates and an at-most-once route /orders.
config::preset SmallPreset();

struct small_node_options {
  std::string id;
  std::string data_centre = "north";
  lab::backend_server_options server{.service = "stock"};
  // Where the gate finds the server; port 0: the server above.
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

  // Changes what every node sees.
  void Edit(const std::function<void(decisions::fleet_view&)>& edit);
  decisions::fleet_view_ptr View() const;

  // What the nodes take for now; moves on with the machine's clock, and by
  // leaps that a test asks for.
  base::clock_hook clock = [this, machine = base::SystemClock()] {
    return machine() + base::duration(leap_.load());
  };
  void AdvanceClock(base::duration by) { leap_ += by.count(); }

  // Outcomes that the nodes told of.
  std::vector<decisions::call_outcome> Outcomes() const;

 private:
  void Start(node& starting);

  std::atomic<std::int64_t> leap_{0};  // Microseconds.
  mutable std::mutex mutex_;
  decisions::fleet_view_ptr view_;
  std::vector<decisions::call_outcome> outcomes_;
  std::vector<std::unique_ptr<node>> nodes_;
};

// Sends one request on a connection of its own and gives the whole answer.
backend_servers::http_response CallOnce(const base::address& to,
                                        backend_servers::http_request request);

backend_servers::http_request Get(const std::string& target);
backend_servers::http_request Post(const std::string& target,
                                   const std::string& body);

// Sends the bytes as they are and gives all that comes until the other side
// closes.
std::string SendBytes(const base::address& to, const std::string& bytes);

// Waits, for long, until the condition holds.
bool Eventually(const std::function<bool()>& condition);

}  // namespace fireflyspar::callers

#endif  // FIREFLYSPAR_TESTS_CALLERS_SMALL_FLEET_H_
