#include "scripted_peer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string_view>

namespace fireflyspar::backend_servers {
namespace {

constexpr char kIdHeader[] = "Request-Id";

std::string IdOf(std::string_view head) {
  constexpr std::string_view kBefore = "Request-Id: ";
  const std::size_t at = head.find(kBefore) + kBefore.size();
  return std::string(head.substr(at, head.find('\r', at) - at));
}

}  // namespace

scripted_peer::scripted_peer(net::io_context& loop, script answer)
    : acceptor_(loop, {net::ip::address_v4::loopback(), 0}),
      answer_(std::move(answer)) {
  net::co_spawn(loop, Accept(), net::detached);
}

net::awaitable<void> scripted_peer::Accept() {
  for (;;) {
    tcp::socket socket = co_await acceptor_.async_accept(net::use_awaitable);
    ++connections_;
    net::co_spawn(acceptor_.get_executor(), Serve(std::move(socket)),
                  net::detached);
  }
}

net::awaitable<void> scripted_peer::Serve(tcp::socket socket) {
  std::string received;
  for (;;) {
    const std::size_t length = co_await net::async_read_until(
        socket, net::dynamic_buffer(received), "\r\n\r\n", net::use_awaitable);
    const std::string id = IdOf(std::string_view(received).substr(0, length));
    received.erase(0, length);
    co_await answer_(socket, id);
  }
}

peer_client::~peer_client() {
  pool_.reset();
  peer_.Close();
  loop_.restart();
  loop_.run();
}

exchange_result peer_client::Send(const std::string& id) {
  http_request request(http::verb::get, "/p", 11);
  request.set(kIdHeader, id);
  exchange_options options;
  options.to = peer_.Address();
  options.deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(20);
  options.correlation_header = kIdHeader;
  options.accepts_close_delimited = true;
  cancellation never;
  exchange_result ended;
  bool has_ended = false;
  net::co_spawn(
      loop_,
      [&]() -> net::awaitable<void> {
        ended = co_await Exchange(*pool_, options, request, never);
        has_ended = true;
      },
      net::detached);
  loop_.restart();
  while (!has_ended) loop_.run_one();
  return ended;
}

}  // namespace fireflyspar::backend_servers
