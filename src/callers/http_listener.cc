#include "callers/http_listener.h"

#include <sys/socket.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <utility>

namespace fireflyspar::callers {
namespace {

using backend_servers::cancellation;
using backend_servers::connection;
using backend_servers::http_request;
using backend_servers::http_response;
using backend_servers::tcp;
using base::error_kind;
using boost::system::error_code;
namespace http = backend_servers::http;

using request_parser = http::request_parser<http::string_body>;

// Increments a counter for the lifetime of the object.
class scoped_count {
 public:
  explicit scoped_count(std::atomic<int>& counted) : counted_(counted) {
    ++counted_;
  }
  ~scoped_count() { --counted_; }
  scoped_count(const scoped_count&) = delete;
  scoped_count& operator=(const scoped_count&) = delete;

 private:
  std::atomic<int>& counted_;
};

// Cancels the work on a request when the caller closes its connection. Bytes
// that arrive meanwhile belong to the next request and end the watch.
void WatchForClose(connection& client,
                   const std::shared_ptr<cancellation>& cancel) {
  auto& socket = client.stream.socket();
  const int handle = socket.native_handle();
  socket.async_wait(tcp::socket::wait_read,
                    [cancel, handle](const error_code& error) {
                      if (error) return;
                      char byte = 0;
                      const ssize_t bytes_read =
                          ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
                      if (bytes_read <= 0) cancel->Cancel();
                    });
}

void StopWatching(connection& client) {
  error_code ignored;
  ignored = client.stream.socket().cancel(ignored);
}

// Returns the refusal of a well-formed request that is not supported; nothing
// for a supported one.
std::optional<http_response> RefusalFor(const http_request& request) {
  if (request.version() != 11 && request.version() != 10) {
    return backend_servers::MakeRefusal(error_kind::kBadRequest,
                                        "expected HTTP/1.1");
  }
  if (request.method() == http::verb::connect) {
    return backend_servers::MakeRefusal(error_kind::kBadRequest,
                                        "CONNECT is not served");
  }
  return std::nullopt;
}

// Ends the connection so that the last answer still reaches the caller when
// unread bytes are left: shuts down the sending side first, then reads and
// discards for a short time what the caller still sends.
net::awaitable<void> LingeringClose(connection& client) {
  error_code error;
  error = client.stream.socket().shutdown(tcp::socket::shutdown_send, error);
  constexpr std::chrono::milliseconds kLinger{500};
  constexpr std::size_t kMaxDiscardedBytes = 4'194'304;
  client.stream.expires_after(kLinger);
  std::array<char, 4096> discarded{};
  std::size_t total = 0;
  auto token = net::redirect_error(net::use_awaitable, error);
  while (!error && total < kMaxDiscardedBytes) {
    const auto space = net::buffer(discarded);
    total += co_await client.stream.async_read_some(space, token);
  }
}

net::awaitable<error_code> ReadRequest(connection& client,
                                       const http_listener_options& options,
                                       std::optional<request_parser>& parser) {
  error_code error;
  auto token = net::redirect_error(net::use_awaitable, error);
  parser.emplace();
  parser->header_limit(backend_servers::kMaxHeaderBytes);
  parser->body_limit(backend_servers::kMaxRequestBytes);
  if (client.buffer.size() == 0) {
    // The long timeout applies only until the first byte. A request that has
    // begun gets the shorter one, so that slow senders can't hold connections.
    client.stream.expires_after(options.idle_timeout);
    constexpr std::size_t kFirstRead = 4096;
    const auto space = client.buffer.prepare(kFirstRead);
    const std::size_t bytes_read =
        co_await client.stream.async_read_some(space, token);
    if (error) co_return error;
    client.buffer.commit(bytes_read);
  }
  client.stream.expires_after(options.read_timeout);
  co_await http::async_read_header(client.stream, client.buffer, *parser,
                                   token);
  if (error || parser->is_done()) co_return error;
  if (http::token_list(parser->get()[http::field::expect])
          .exists("100-continue")) {
    http::response<http::empty_body> continue_response(http::status::continue_,
                                                       11);
    co_await http::async_write(client.stream, continue_response, token);
    if (error) co_return error;
  }
  co_await http::async_read(client.stream, client.buffer, *parser, token);
  co_return error;
}

net::awaitable<error_code> WriteAnswer(connection& client,
                                       const http_listener_options& options,
                                       http_response& answer) {
  error_code error;
  auto token = net::redirect_error(net::use_awaitable, error);
  client.stream.expires_after(options.write_timeout);
  co_await http::async_write(client.stream, answer, token);
  co_return error;
}

}  // namespace

http_listener::http_listener(worker_pool& workers,
                             http_listener_options options)
    : workers_(workers), shared_(std::make_shared<shared_state>()) {
  shared_->options = std::move(options);
}

http_listener::~http_listener() = default;

base::status http_listener::Start() {
  error_code error;
  const base::address& listen_address = shared_->options.address;
  const tcp::endpoint endpoint = backend_servers::ToEndpoint(listen_address);
  acceptor_ = std::make_unique<tcp::acceptor>(workers_.At(0).loop);
  error = acceptor_->open(endpoint.protocol(), error);
  if (!error) {
    error = acceptor_->set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) error = acceptor_->bind(endpoint, error);
  if (!error) {
    error = acceptor_->listen(net::socket_base::max_listen_connections, error);
  }
  if (error) {
    return base::Fail(
        error_kind::kBadSettings,
        "can't listen on " + listen_address.ToText() + ": " + error.message());
  }
  bound_ = backend_servers::ToAddress(acceptor_->local_endpoint(error));
  net::co_spawn(workers_.At(0).loop, Accept(), net::detached);
  return base::success{};
}

net::awaitable<void> http_listener::Accept() {
  error_code error;
  auto token = net::redirect_error(net::use_awaitable, error);
  std::size_t next = 0;
  while (!shared_->finishing) {
    worker& assigned_worker = workers_.At(next++ % workers_.Count());
    tcp::socket socket(assigned_worker.loop);
    co_await acceptor_->async_accept(socket, token);
    if (error == net::error::operation_aborted) co_return;
    if (error) {
      // Usually the process is out of file descriptors: wait until some are
      // free again.
      net::steady_timer pause(acceptor_->get_executor(),
                              std::chrono::milliseconds(50));
      co_await pause.async_wait(token);
      continue;
    }
    if (shared_->connections >= shared_->options.max_connections) continue;
    error = socket.set_option(tcp::no_delay(true), error);
    auto client = std::make_unique<connection>(std::move(socket));
    net::co_spawn(assigned_worker.loop,
                  Serve(shared_, assigned_worker, std::move(client)),
                  net::detached);
  }
}

net::awaitable<void> http_listener::Serve(std::shared_ptr<shared_state> shared,
                                          worker& assigned_worker,
                                          std::unique_ptr<connection> client) {
  const scoped_count open(shared->connections);
  const http_listener_options& options = shared->options;
  error_code ignored;
  const tcp::endpoint remote = client->stream.socket().remote_endpoint(ignored);
  std::optional<request_parser> parser;
  for (;;) {
    const error_code error = co_await ReadRequest(*client, options, parser);
    if (error) {
      auto refusal = backend_servers::RefusalForReadError(error);
      if (!refusal) co_return;
      refusal->keep_alive(false);
      co_await WriteAnswer(*client, options, *refusal);
      co_await LingeringClose(*client);
      co_return;
    }
    const scoped_count busy(shared->active);
    client->stream.expires_never();
    incoming_request call{.request = parser->release(),
                          .remote = remote,
                          .assigned_worker = &assigned_worker,
                          .cancel = std::make_shared<cancellation>()};
    const unsigned version = call.request.version();
    const bool may_keep_open = call.request.keep_alive();
    const bool is_head_request = call.request.method() == http::verb::head;
    http_response answer;
    auto refusal = RefusalFor(call.request);
    if (refusal) {
      answer = std::move(*refusal);
    } else {
      WatchForClose(*client, call.cancel);
      answer = co_await options.handler(call);
      StopWatching(*client);
    }
    if (call.cancel->IsCancelled()) co_return;
    backend_servers::StripDisallowedBody(is_head_request, answer);
    answer.version(version);
    const bool keep_open = may_keep_open && !refusal && !shared->finishing;
    answer.keep_alive(keep_open);
    const error_code write_error =
        co_await WriteAnswer(*client, options, answer);
    if (write_error) co_return;
    if (!keep_open) {
      co_await LingeringClose(*client);
      co_return;
    }
  }
}

void http_listener::Finish() {
  shared_->finishing = true;
  if (!acceptor_) return;
  net::post(acceptor_->get_executor(), [this] {
    error_code ignored;
    ignored = acceptor_->close(ignored);
  });
}

}  // namespace fireflyspar::callers
