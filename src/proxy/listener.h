// Takes HTTP/1.1 connections on the proxy's one thread, reads requests within
// the limits in force, gives them to a handler and writes the answers. A caller
// that goes away cancels what is done for it. A peer that asks "100 Continue"
// first can be made to wait for it until the handler wants the body.
#ifndef FIREFLYSPAR_PROXY_LISTENER_H_
#define FIREFLYSPAR_PROXY_LISTENER_H_

#include <chrono>
#include <functional>
#include <memory>

#include "backend_servers/http.h"
#include "base/result.h"
#include "config/mesh_configuration.h"

namespace fireflyspar::proxy {

namespace net = boost::asio;

// A request as it came in.
struct served_call {
  backend_servers::http_request request;
  std::shared_ptr<backend_servers::cancellation> cancel;
  // Set when the body has not been sent yet: asks for it and reads it into
  // `request`. False when the peer broke off instead.
  std::function<net::awaitable<bool>()> read_body;
};

using call_handler =
    std::function<net::awaitable<backend_servers::http_response>(
        served_call& call)>;

struct listener_options {
  base::address address;
  call_handler handler;
  // The limits in force; asked for each request.
  std::function<config::request_limits()> limits = [] {
    return config::request_limits{};
  };
  std::chrono::milliseconds write_timeout{10'000};
  // See backend_servers::WatchPeer; zero: the peers are not watched.
  std::chrono::milliseconds dead_peer_timeout{0};
  bool holds_bodies = false;  // Leaves it to the handler to ask for them.
  int max_connections = 3000;
};

class listener {
 public:
  listener(const net::any_io_executor& executor, listener_options options);
  ~listener();
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;

  base::status Start();

  // Closes each connection after its next answer; goes on accepting.
  void StopKeeping();

  // Takes no further connections and closes those that are idle.
  void Close();

  // Requests being read, handled or answered now.
  int Active() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_LISTENER_H_
