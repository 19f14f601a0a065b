#include "scripted_peer.h"

#include <algorithm>
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
  slow_.Cancel();
  loop_.restart();
  loop_.poll();
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

void peer_client::SendAtOnce(
    int count, const std::function<void(exchange_result)>& on_end) {
  int ended = 0;
  for (int i = 0; i < count; ++i) {
    http_request request(http::verb::get, "/p", 11);
    request.set(kIdHeader, "at-once-" + std::to_string(i));
    net::co_spawn(loop_, Exchange(std::move(request), false, never_),
                  [&](const std::exception_ptr&, exchange_result result) {
                    ++ended;
                    on_end(std::move(result));
                  });
  }
  loop_.restart();
  while (ended < count) loop_.run_one();
}

exchange_result peer_client::Run(http_request request,
                                 bool body_after_continue) {
  std::optional<exchange_result> ended;
  net::co_spawn(loop_,
                Exchange(std::move(request), body_after_continue, never_),
                [&](const std::exception_ptr&, exchange_result result) {
                  ended = std::move(result);
                });
  loop_.restart();
  while (!ended) loop_.run_one();
  return *std::move(ended);
}

exchange_result peer_client::SendAndCancel(const std::string& id,
                                           std::chrono::milliseconds after) {
  http_request request(http::verb::get, "/p", 11);
  request.set(kIdHeader, id);
  cancellation cancel;
  std::optional<exchange_result> ended;
  net::co_spawn(loop_, Exchange(std::move(request), false, cancel),
                [&](const std::exception_ptr&, exchange_result result) {
                  ended = std::move(result);
                });
  RunFor(after);
  cancel.Cancel();
  loop_.restart();
  while (!ended) loop_.run_one();
  return *std::move(ended);
}

void peer_client::BeginSlow(const std::string& target) {
  http_request request(http::verb::get, target, 11);
  request.set(kIdHeader, "slow");
  net::co_spawn(loop_, Exchange(std::move(request), false, slow_),
                [](const std::exception_ptr&, const exchange_result&) {});
  loop_.restart();
  while (Answers().UsedBytes() == 0) loop_.run_one();
}

net::awaitable<exchange_result> peer_client::Exchange(http_request request,
                                                      bool body_after_continue,
                                                      cancellation& cancel) {
  exchange_options options;
  options.to = peer_.Address();
  options.deadline = std::chrono::steady_clock::now() + deadline_;
  if (!is_proxy_) options.correlation_header = kIdHeader;
  options.accepts_close_delimited = !is_proxy_;
  options.body_after_continue = body_after_continue;
  exchange_result ended =
      co_await backend_servers::Exchange(*pool_, options, request, cancel);
  co_return ended;
}

}  // namespace fireflyspar::backend_servers
