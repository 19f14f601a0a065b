// Accepts HTTP/1.1 connections on the proxy's one thread, reads requests within
// the limits in force, passes them to a handler and writes the responses. When
// a caller disconnects, its request is cancelled. For a peer that sends
// "Expect: 100-continue", the handler can decide when the body is asked for and
// read.
#ifndef FIREFLYSPAR_PROXY_LISTENER_H_
#define FIREFLYSPAR_PROXY_LISTENER_H_

#include <chrono>
#include <functional>
#include <memory>

#include "backend_servers/http.h"
#include "base/result.h"
#include "config/mesh_configuration.h"
#include "proxy/body_memory.h"
#include "proxy/supervision.h"

namespace fireflyspar::proxy {

namespace net = boost::asio;

// A received request.
struct served_call {
  backend_servers::http_request request;
  std::shared_ptr<backend_servers::cancellation> cancel;
  // Set if the peer has not sent the body yet: asks for the body and reads it
  // into `request`. Returns false if that fails.
  std::function<net::awaitable<bool>()> read_body;
};

using call_handler =
    std::function<net::awaitable<backend_servers::http_response>(
        served_call& call)>;

struct listener_options {
  base::address address;
  call_handler handler;
  // Returns the limits in force; called anew for each request.
  std::function<config::request_limits()> limits = [] {
    return config::request_limits{};
  };
  std::chrono::milliseconds write_timeout{10'000};
  // The timeout for backend_servers::EnableDeadPeerDetection; zero turns it
  // off.
  std::chrono::milliseconds dead_peer_timeout{0};
  // Whether the handler decides when to ask for the body of a request with
  // "Expect: 100-continue", rather than the listener at once.
  bool defer_bodies = false;
  // Room for the bodies of the requests in progress; null: unlimited.
  body_memory* bodies = nullptr;
  int max_connections = 3000;
  // Called when the handler threw; its request gets an answer that promises
  // nothing.
  unexpected_error_hook on_error = [](std::string_view) {};
};

class listener {
 public:
  listener(const net::any_io_executor& executor, listener_options options);
  ~listener();
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;

  base::status Start();

  // Closes each connection after its next response; new connections are still
  // accepted.
  void DisableKeepAlive();

  // Stops accepting connections and closes the idle ones.
  void Close();

  // Returns the number of requests that are being read, handled or answered.
  int ActiveRequests() const;

  // Returns the number of connections whose last answer was written, and may
  // still be on its way.
  int ClosingConnections() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_LISTENER_H_
