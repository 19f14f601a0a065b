#include "scripted_peer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <string_view>

namespace fireflyspar::backend_servers {
namespace {

constexpr char kIdHeader[] = "Request-Id";

std::string IdOf(std::string_view head) {
  constexpr std::string_view kBefore = "Request-Id: ";
  const std::size_t at = head.find(kBefore) + kBefore.size();
  return std::string(head.substr(at, head.find('\r', at) - at));
}

std::string TargetOf(std::string_view head) {
  const std::size_t at = head.find(' ') + 1;
  return std::string(head.substr(at, head.find(' ', at) - at));
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
    net::co_spawn(acceptor_.get_executor(),
                  Serve(std::make_shared<tcp::socket>(std::move(socket))),
                  net::detached);
  }
}

net::awaitable<void> scripted_peer::Serve(std::shared_ptr<tcp::socket> socket) {
  std::string received;
  for (;;) {
    const std::size_t length = co_await net::async_read_until(
        *socket, net::dynamic_buffer(received), "\r\n\r\n", net::use_awaitable);
    const std::string_view head = std::string_view(received).substr(0, length);
    const peer_request request{
        .id = IdOf(head),
        .target = TargetOf(head),
        .expects_continue = head.find("100-continue") != std::string_view::npos,
        .from = socket};
    received.erase(0, length);
    co_await answer_(*socket, request);
  }
}

net::awaitable<void> Write(tcp::socket& socket, std::string bytes) {
  co_await net::async_write(socket, net::buffer(bytes), net::use_awaitable);
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
  return Run(std::move(request), false);
}

exchange_result peer_client::Upload(const std::string& id,
                                    const std::string& body) {
  http_request request(http::verb::post, "/p", 11);
  request.set(kIdHeader, id);
  request.body() = body;
  request.prepare_payload();
  return Run(std::move(request), true);
}

exchange_result peer_client::Run(http_request request,
                                 bool body_after_continue) {
  exchange_options options;
  options.to = peer_.Address();
  options.deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(20);
  if (!is_proxy_) options.correlation_header = kIdHeader;
  options.accepts_close_delimited = !is_proxy_;
  options.body_after_continue = body_after_continue;
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
