#include "crash_server.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace fireflyspar::proxy {
namespace {

namespace http = backend_servers::http;
using boost::system::error_code;
using tcp = net::ip::tcp;

net::awaitable<void> Pause(net::io_context& loop,
                           std::chrono::milliseconds span) {
  net::steady_timer timer(loop, span);
  error_code ignored;
  co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

}  // namespace

struct crash_server::life {
  explicit life(net::io_context& loop) : acceptor(loop) {}

  tcp::acceptor acceptor;
  std::set<std::shared_ptr<tcp::socket>> sockets;
};

crash_server::crash_server(net::io_context& loop, crash_server_options options,
                           std::function<void()> on_start)
    : loop_(loop),
      options_(std::move(options)),
      on_start_(std::move(on_start)) {}

crash_server::~crash_server() = default;

void crash_server::Start() {
  life_ = std::make_shared<life>(loop_);
  const tcp::endpoint at(net::ip::address_v4::loopback(), address_.port);
  life_->acceptor.open(tcp::v4());
  life_->acceptor.set_option(tcp::acceptor::reuse_address(true));
  life_->acceptor.bind(at);
  life_->acceptor.listen();
  address_ = {.ip = "127.0.0.1",
              .port = life_->acceptor.local_endpoint().port()};
  ++starts_;
  net::co_spawn(loop_, Accept(life_), net::detached);
  on_start_();
}

void crash_server::Crash() {
  if (!life_) return;
  ++ends_;
  error_code ignored;
  ignored = life_->acceptor.close(ignored);
  for (const auto& each : life_->sockets) ignored = each->close(ignored);
  life_.reset();
  net::co_spawn(loop_, StartAgain(), net::detached);
}

net::awaitable<void> crash_server::StartAgain() {
  co_await Pause(loop_, options_.until_restart);
  Start();
}

net::awaitable<void> crash_server::Accept(std::shared_ptr<life> current) {
  for (;;) {
    error_code error;
    auto socket = std::make_shared<tcp::socket>(loop_);
    co_await current->acceptor.async_accept(
        *socket, net::redirect_error(net::use_awaitable, error));
    if (error) co_return;
    current->sockets.insert(socket);
    net::co_spawn(loop_, Serve(current, socket), net::detached);
  }
}

net::awaitable<void> crash_server::Serve(std::shared_ptr<life> current,
                                         std::shared_ptr<tcp::socket> socket) {
  backend_servers::beast::flat_buffer buffer;
  error_code error;
  auto token = net::redirect_error(net::use_awaitable, error);
  for (;;) {
    backend_servers::http_request request;
    co_await http::async_read(*socket, buffer, request, token);
    if (error) break;
    const std::string target(backend_servers::ToView(request.target()));
    arrivals_.push_back(target);
    if (options_.crashes(target)) {
      co_await Pause(loop_, options_.until_crash);
      if (life_ == current) Crash();
      break;
    }
    co_await Pause(loop_, options_.work);
    if (options_.loses_answer(target)) break;
    backend_servers::http_response answer(http::status::ok, 11);
    answer.set("Request-Id", request["Request-Id"]);
    answer.prepare_payload();
    co_await http::async_write(*socket, answer, token);
    if (error) break;
  }
  error_code ignored;
  ignored = socket->close(ignored);
  current->sockets.erase(socket);
}

}  // namespace fireflyspar::proxy
