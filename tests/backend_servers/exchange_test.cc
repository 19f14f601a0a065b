// A body that is cut at any byte: the peer acts on whole requests only, so the
// request has certainly not run unless its last byte was sent.
#include "backend_servers/exchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace fireflyspar::backend_servers {
namespace {

// A peer that asks for the body and breaks the connection after some bytes.
class cutting_peer {
 public:
  cutting_peer(net::io_context& loop, std::size_t bytes_before_cut)
      : acceptor_(loop, {net::ip::address_v4::loopback(), 0}),
        bytes_before_cut_(bytes_before_cut) {
    net::co_spawn(loop, Serve(), net::detached);
  }

  base::address Address() const {
    return {.ip = "127.0.0.1", .port = acceptor_.local_endpoint().port()};
  }

 private:
  net::awaitable<void> Serve() {
    tcp::socket socket = co_await acceptor_.async_accept(net::use_awaitable);
    std::string head;
    co_await net::async_read_until(socket, net::dynamic_buffer(head),
                                   "\r\n\r\n", net::use_awaitable);
    const std::string go = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await net::async_write(socket, net::buffer(go), net::use_awaitable);
    std::string received(bytes_before_cut_, '\0');
    co_await net::async_read(socket, net::buffer(received), net::use_awaitable);
    socket.set_option(net::socket_base::linger(true, 0));  // Resets on close.
    socket.close();
  }

  tcp::acceptor acceptor_;
  std::size_t bytes_before_cut_;
};

exchange_result SendBody(std::size_t body_bytes, std::size_t bytes_before_cut) {
  net::io_context loop;
  cutting_peer peer(loop, bytes_before_cut);
  connection_pool pool(loop.get_executor());
  http_request request(http::verb::post, "/upload", 11);
  request.body() = std::string(body_bytes, 'x');
  request.prepare_payload();
  exchange_options options;
  options.to = peer.Address();
  options.deadline = std::chrono::steady_clock::now() + std::chrono::minutes(1);
  options.body_after_continue = true;
  cancellation never;
  exchange_result ended;
  net::co_spawn(
      loop,
      [&]() -> net::awaitable<void> {
        ended = co_await Exchange(pool, options, request, never);
      },
      net::detached);
  loop.run();
  return ended;
}

TEST_CASE("a body that is cut on the way was not sent") {
  // Far more than the system's buffers between the two ends hold.
  constexpr std::size_t kBody = 64'000'000;
  const std::size_t cut = GENERATE(0, 1, 1000, 100'000);
  const exchange_result ended = SendBody(kBody, cut);
  CHECK(ended.end == exchange_outcome::kBroken);
  CHECK_FALSE(ended.sent);
}

TEST_CASE("a body that was sent to its last byte may have been received") {
  constexpr std::size_t kBody = 100;
  const exchange_result ended = SendBody(kBody, kBody);
  CHECK(ended.end == exchange_outcome::kBroken);
  CHECK(ended.sent);
}

}  // namespace
}  // namespace fireflyspar::backend_servers
