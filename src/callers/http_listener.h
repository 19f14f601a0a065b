// Takes HTTP/1.1 connections, reads whole requests within bounds of size and
// time, gives them to a handler and writes the answers. A caller that goes away
// cancels what is done for it.
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

// A request as it came in.
struct incoming {
  backend_servers::http_request request;
  backend_servers::tcp::endpoint remote;
  worker* home = nullptr;  // The worker that has the connection.
  std::shared_ptr<backend_servers::cancellation> cancel;
};

// Runs on the worker that has the connection.
using request_handler =
    std::function<net::awaitable<backend_servers::http_response>(
        incoming& call)>;

struct http_listener_options {
  base::address address;
  request_handler handler;
  // A whole request must come within this from its first byte on.
  std::chrono::milliseconds read_timeout{10'000};
  // An idle connection is kept this long.
  std::chrono::milliseconds idle_timeout{60'000};
  std::chrono::milliseconds write_timeout{10'000};
  int max_connections = 10'000;
};

class http_listener {
 public:
  http_listener(worker_pool& workers, http_listener_options options);
  ~http_listener();

  base::status Start();

  // Takes no further connections, and closes each one after its next answer.
  void Finish();

  // Requests being handled or answered now.
  int Active() const { return shared_->active.load(); }

  // Where it listens; the port is the one that the system chose, if it was 0.
  base::address Address() const { return bound_; }

 private:
  struct shared_state {
    http_listener_options options;
    std::atomic<int> active{0};
    std::atomic<int> connections{0};
    std::atomic<bool> finishing{false};
  };

  static net::awaitable<void> Serve(
      std::shared_ptr<shared_state> shared, worker& home,
      std::unique_ptr<backend_servers::connection> client);
  net::awaitable<void> Accept();

  worker_pool& workers_;
  std::shared_ptr<shared_state> shared_;
  std::unique_ptr<backend_servers::tcp::acceptor> acceptor_;
  base::address bound_;
};

}  // namespace fireflyspar::callers

#endif  // FIREFLYSPAR_CALLERS_HTTP_LISTENER_H_
