// Accepts HTTP/1.1 connections, reads whole requests within limits of size and
// time, passes them to a handler and writes the answers. When a caller closes
// its connection, the work on its request is cancelled.
#ifndef FIREFLYSPAR_CALLERS_HTTP_LISTENER_H_
#define FIREFLYSPAR_CALLERS_HTTP_LISTENER_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "backend_servers/http.h"
#include "callers/worker_pool.h"

namespace fireflyspar::callers {

// A request as received, with the connection's data.
struct incoming_request {
  backend_servers::http_request request;
  backend_servers::tcp::endpoint remote;
  worker* assigned_worker = nullptr;  // The worker that has the connection.
  std::shared_ptr<backend_servers::cancellation> cancel;
};

// Answers a request. Runs on the worker that has the connection.
using request_handler =
    std::function<net::awaitable<backend_servers::http_response>(
        incoming_request& call)>;

struct http_listener_options {
  base::address address;
  request_handler handler;
  // Time limit for reading a whole request, from its first byte.
  std::chrono::milliseconds read_timeout{10'000};
  // Time after which an idle connection is closed.
  std::chrono::milliseconds idle_timeout{60'000};
  std::chrono::milliseconds write_timeout{10'000};
  int max_connections = 10'000;
};

class http_listener {
 public:
  http_listener(worker_pool& workers, http_listener_options options);
  ~http_listener();

  base::status Start();

  // Stops accepting connections, and closes each open one after its next
  // answer.
  void Finish();

  // Returns the number of requests being handled or answered.
  int Active() const { return shared_->active.load(); }

  // Returns the address that the listener is bound to. A port of 0 in the
  // options is replaced by the one that the system chose.
  base::address Address() const { return bound_; }

 private:
  struct shared_state {
    http_listener_options options;
    std::atomic<int> active{0};
    std::atomic<int> connections{0};
    std::atomic<bool> finishing{false};
  };

  static net::awaitable<void> Serve(
      std::shared_ptr<shared_state> shared, worker& assigned_worker,
      std::unique_ptr<backend_servers::connection> client);
  net::awaitable<void> Accept();

  worker_pool& workers_;
  std::shared_ptr<shared_state> shared_;
  std::unique_ptr<backend_servers::tcp::acceptor> acceptor_;
  base::address bound_;
};

}  // namespace fireflyspar::callers

#endif  // FIREFLYSPAR_CALLERS_HTTP_LISTENER_H_
