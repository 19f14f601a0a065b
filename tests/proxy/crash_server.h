// A stand-in backend server that ends when it runs certain requests: all its
// connections break and nothing listens at its address until it starts again,
// under a new id. It can also end for no reason, or lose an answer and live.
#ifndef FIREFLYSPAR_TESTS_PROXY_CRASH_SERVER_H_
#define FIREFLYSPAR_TESTS_PROXY_CRASH_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "backend_servers/http.h"
#include "base/address.h"

namespace fireflyspar::proxy {

namespace net = boost::asio;

struct crash_server_options {
  // Returns whether a request with this target crashes the server.
  std::function<bool(std::string_view target)> crashes =
      [](std::string_view target) { return target.ends_with("/bad"); };
  // Returns whether the answer to such a request is lost; the server lives.
  std::function<bool(std::string_view target)> loses_answer =
      [](std::string_view) { return false; };
  std::chrono::milliseconds work{40};
  std::chrono::milliseconds until_crash{20};
  std::chrono::milliseconds until_restart{400};
};

class crash_server {
 public:
  // `on_start` is called at each start, the first one included.
  crash_server(net::io_context& loop, crash_server_options options,
               std::function<void()> on_start);
  ~crash_server();

  // Starts listening, under a new id.
  void Start();

  // Ends the server, which starts again after its pause.
  void Crash();

  bool IsUp() const { return life_ != nullptr; }
  const base::address& Address() const { return address_; }
  int Starts() const { return starts_; }
  int Ends() const { return ends_; }

  // Targets of the requests that reached the server, in this order.
  const std::vector<std::string>& Arrivals() const { return arrivals_; }

 private:
  // What lasts from a start to an end.
  struct life;

  net::awaitable<void> Accept(std::shared_ptr<life> current);
  net::awaitable<void> Serve(std::shared_ptr<life> current,
                             std::shared_ptr<net::ip::tcp::socket> socket);
  net::awaitable<void> StartAgain();

  net::io_context& loop_;
  crash_server_options options_;
  std::function<void()> on_start_;
  base::address address_;
  std::shared_ptr<life> life_;
  int starts_ = 0;
  int ends_ = 0;
  std::vector<std::string> arrivals_;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_TESTS_PROXY_CRASH_SERVER_H_
