// Some proxies with their backend servers in one process, over sockets on
// loopback, whose proxies can be told to end, and callers that record what
// became of each of their requests.
#ifndef FIREFLYSPAR_TESTS_APP_SHUTDOWN_FLEET_H_
#define FIREFLYSPAR_TESTS_APP_SHUTDOWN_FLEET_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "backend_servers/http.h"

namespace fireflyspar::app {

namespace net = boost::asio;

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

// The routes of the fleet; both lead to the servers of instances 0 and 1.
enum class fleet_route {
  kUrgent,  // Idempotent.
  kOrder,   // Must not run more than once.
};

struct sent_request {
  int instance = 0;
  fleet_route route = fleet_route::kUrgent;
  milliseconds work{100};
  milliseconds deadline{2000};
  std::size_t body_bytes = 0;
  // Pause before the second half of the body.
  milliseconds body_pause{0};
  std::string id;  // Empty: the fleet chooses one.
};

// What its caller saw of a request, and its server.
struct request_end {
  std::string id;
  sent_request sent;
  steady::time_point sent_at;
  steady::time_point ended_at;
  unsigned status = 0;  // 0: its connection ended without an answer.
  bool has_own_body = false;
  bool says_when_to_retry = false;
  int runs = 0;  // At its server.
  // When the server last ended a run of it; nothing if it is still at work.
  std::optional<steady::time_point> run_ended_at;
};

class shutdown_fleet {
 public:
  static constexpr int kInstances = 4;
  static constexpr int kSlots = 3;
  // From SIGTERM to SIGKILL.
  static constexpr milliseconds kGrace{6000};

  shutdown_fleet();
  ~shutdown_fleet();

  // Sends the request on a connection of its own, and `next` on the same one
  // when it was answered, if the connection stays open.
  void Send(const sent_request& request,
            const std::optional<sent_request>& next = std::nullopt);

  // Opens a connection to the instance, which is kept from then on. Returns its
  // number.
  int KeepConnection(int instance);
  // Sends the request on a kept connection.
  void SendOnKept(int connection, const sent_request& request);

  // Tells the instance's proxy to end, as SIGTERM does. When its time is over
  // its connections stay open here, but what it writes then comes too late.
  void End(int instance);
  // Returns when the proxy has ended; nothing if it has not.
  std::optional<steady::time_point> EndedAt(int instance) const;

  void RunFor(milliseconds span);
  // Runs until all requests and all shutdowns have ended.
  void RunToEnd();

  const std::vector<request_end>& Ends() const { return ends_; }

 private:
  struct server;
  struct process;

  net::awaitable<void> Call(sent_request first,
                            std::optional<sent_request> next);
  net::awaitable<bool> Exchange(net::ip::tcp::socket& socket,
                                const sent_request& request);
  net::awaitable<void> CallOnKept(std::size_t connection, sent_request request);
  net::awaitable<void> EndProcess(int instance);
  // A call to a store that does not answer.
  net::awaitable<void> CallSilentStore();

  net::io_context loop_;
  std::vector<std::unique_ptr<server>> servers_;
  std::vector<std::unique_ptr<process>> processes_;
  std::vector<std::unique_ptr<net::ip::tcp::socket>> kept_;
  int open_calls_ = 0;
  int open_shutdowns_ = 0;
  int last_id_ = 0;
  std::vector<request_end> ends_;
};

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_TESTS_APP_SHUTDOWN_FLEET_H_
