#include "proxy/listener.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>
#include <exception>
#include <optional>
#include <set>
#include <utility>

namespace fireflyspar::proxy {
namespace {

namespace http = backend_servers::http;
using backend_servers::cancellation;
using backend_servers::connection;
using backend_servers::http_request;
using backend_servers::http_response;
using backend_servers::tcp;
using base::error_kind;
using boost::system::error_code;

using request_parser = http::request_parser<http::string_body>;

// How long a connection is still read from before it is closed, so that the
// last response arrives even if the caller has sent more than was read.
constexpr std::chrono::milliseconds kLinger{300};

// Pause after a failed accept, as when the process is out of file descriptors.
constexpr std::chrono::milliseconds kAcceptPause{50};

// Cancels the request in progress when its caller closes the connection. Bytes
// that arrive meanwhile belong to the next request and end the watch.
void WatchForClose(connection& client,
                   const std::shared_ptr<cancellation>& cancel) {
  auto& socket = client.stream.socket();
  const int handle = socket.native_handle();
  socket.async_wait(
      tcp::socket::wait_read, [cancel, handle](const error_code& error) {
        if (error) return;
        char byte = 0;
        const ssize_t bytes_read =
            ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool is_alive =
            bytes_read > 0 ||
            (bytes_read < 0 && (errno == EAGAIN || errno == EINTR));
        if (!is_alive) cancel->Cancel();
      });
}

void StopWatching(connection& client) {
  error_code ignored;
  ignored = client.stream.socket().cancel(ignored);
}

net::awaitable<void> LingeringClose(connection& client) {
  error_code error;
  error = client.stream.socket().shutdown(tcp::socket::shutdown_send, error);
  client.stream.expires_after(kLinger);
  std::array<char, 4096> discarded{};
  auto token = net::redirect_error(net::use_awaitable, error);
  while (!error) {
    co_await client.stream.async_read_some(net::buffer(discarded), token);
  }
}

}  // namespace

struct listener::state : std::enable_shared_from_this<listener::state> {
  state(const net::any_io_executor& executor, listener_options initial_options)
      : options(std::move(initial_options)), acceptor(executor) {}

  net::awaitable<void> Accept();
  net::awaitable<void> Serve(std::shared_ptr<connection> client);
  net::awaitable<error_code> ReadHead(connection& client,
                                      std::optional<request_parser>& parser);
  net::awaitable<error_code> ReadBody(connection& client,
                                      request_parser& parser);
  net::awaitable<bool> ReadDeferredBody(connection& client,
                                        request_parser& parser,
                                        served_call& call);
  net::awaitable<http_response> Handle(connection& client,
                                       request_parser& parser,
                                       bool is_body_deferred,
                                       served_call& call);
  net::awaitable<void> RefuseAndClose(connection& client,
                                      http_response refusal);

  // Returns an upper bound of the length of the body that is still to be read.
  std::uint64_t MaxBodyBytes(const request_parser& parser) const;

  listener_options options;
  tcp::acceptor acceptor;
  std::set<std::shared_ptr<connection>> idle;  // Between two requests.
  int active_requests = 0;
  int closing_connections = 0;
  int connections = 0;
  bool allow_keep_alive = true;
  bool closed = false;
};

net::awaitable<error_code> listener::state::ReadHead(
    connection& client, std::optional<request_parser>& parser) {
  error_code error;
  auto token = net::redirect_error(net::use_awaitable, error);
  const config::request_limits limits = options.limits();
  parser.emplace();
  parser->header_limit(limits.header_bytes);
  parser->body_limit(limits.body_bytes);
  client.buffer.max_size(backend_servers::kMaxBufferedBytes +
                         limits.header_bytes);
  if (client.buffer.size() == 0) {
    // The long idle timeout applies only until the first byte. From then on the
    // shorter header timeout applies, so that slow senders can't hold
    // connections.
    client.stream.expires_after(limits.idle_timeout);
    constexpr std::size_t kFirstRead = 4096;
    const std::size_t bytes_read = co_await client.stream.async_read_some(
        client.buffer.prepare(kFirstRead), token);
    if (error) co_return error;
    client.buffer.commit(bytes_read);
  }
  ++active_requests;
  client.stream.expires_after(limits.header_timeout);
  co_await http::async_read_header(client.stream, client.buffer, *parser,
                                   token);
  if (error) --active_requests;
  co_return error;
}

// Reads the body, after sending "100 Continue" if the caller waits for that.
net::awaitable<error_code> listener::state::ReadBody(connection& client,
                                                     request_parser& parser) {
  error_code error;
  if (parser.is_done()) co_return error;
  auto token = net::redirect_error(net::use_awaitable, error);
  client.stream.expires_after(options.limits().header_timeout);
  if (http::token_list(parser.get()[http::field::expect])
          .exists("100-continue")) {
    http::response<http::empty_body> continue_response(http::status::continue_,
                                                       11);
    co_await http::async_write(client.stream, continue_response, token);
    if (error) co_return error;
  }
  co_await http::async_read(client.stream, client.buffer, parser, token);
  client.stream.expires_never();
  co_return error;
}

net::awaitable<bool> listener::state::ReadDeferredBody(connection& client,
                                                       request_parser& parser,
                                                       served_call& call) {
  StopWatching(client);
  const error_code error = co_await ReadBody(client, parser);
  if (error) co_return false;
  call.request = parser.release();
  WatchForClose(client, call.cancel);
  co_return true;
}

net::awaitable<http_response> listener::state::Handle(connection& client,
                                                      request_parser& parser,
                                                      bool is_body_deferred,
                                                      served_call& call) {
  call.cancel = std::make_shared<cancellation>();
  if (is_body_deferred) {
    call.request.base() = parser.get().base();
    call.read_body = [this, &client, &parser, &call] {
      return ReadDeferredBody(client, parser, call);
    };
  } else {
    call.request = parser.release();
  }
  WatchForClose(client, call.cancel);
  http_response answer;
  try {
    answer = co_await options.handler(call);
  } catch (const std::exception& thrown) {
    options.on_error(thrown.what());
    answer = backend_servers::MakeRefusal(
        error_kind::kInternal, "unexpected error", base::run_state::kUnknown);
  }
  StopWatching(client);
  co_return answer;
}

net::awaitable<void> listener::state::RefuseAndClose(connection& client,
                                                     http_response refusal) {
  refusal.keep_alive(false);
  error_code write_error;
  client.stream.expires_after(options.write_timeout);
  co_await http::async_write(
      client.stream, refusal,
      net::redirect_error(net::use_awaitable, write_error));
  co_await LingeringClose(client);
}

std::uint64_t listener::state::MaxBodyBytes(
    const request_parser& parser) const {
  if (parser.is_done()) return 0;
  const auto length = parser.content_length();
  return length ? *length : options.limits().body_bytes;
}

net::awaitable<void> listener::state::Serve(
    std::shared_ptr<connection> client) {
  ++connections;
  const auto self = shared_from_this();
  const auto on_end = [self](connection*) { --self->connections; };
  const std::unique_ptr<connection, decltype(on_end)> decrement_on_exit(
      client.get(), on_end);
  std::optional<request_parser> parser;
  for (;;) {
    idle.insert(client);
    error_code error = co_await ReadHead(*client, parser);
    idle.erase(client);
    bool is_body_deferred = false;
    body_reservation room(options.bodies);
    if (!error && !room.TryReserve(MaxBodyBytes(*parser))) {
      --active_requests;
      co_await RefuseAndClose(
          *client, backend_servers::MakeRefusal(
                       error_kind::kShed, "no memory for the request's body"));
      co_return;
    }
    if (!error) {
      is_body_deferred = options.defer_bodies && !parser->is_done() &&
                         http::token_list(parser->get()[http::field::expect])
                             .exists("100-continue");
      if (!is_body_deferred) {
        error = co_await ReadBody(*client, *parser);
        if (error) --active_requests;
      }
    }
    if (error) {
      auto refusal = backend_servers::RefusalForReadError(error);
      if (refusal) co_await RefuseAndClose(*client, *std::move(refusal));
      co_return;
    }
    client->stream.expires_never();
    const unsigned version = parser->get().version();
    bool keeps_open = parser->get().keep_alive();
    const bool is_head_request = parser->get().method() == http::verb::head;
    served_call call;
    if (!is_body_deferred) room.Shrink(parser->get().body().size());
    http_response answer =
        co_await Handle(*client, *parser, is_body_deferred, call);
    if (call.cancel->IsCancelled()) {
      --active_requests;
      co_return;
    }
    backend_servers::StripDisallowedBody(is_head_request, answer);
    answer.version(version);
    keeps_open = keeps_open && allow_keep_alive && !closed;
    answer.keep_alive(keeps_open);
    client->stream.expires_after(options.write_timeout);
    error_code write_error;
    co_await http::async_write(
        client->stream, answer,
        net::redirect_error(net::use_awaitable, write_error));
    answer = http_response();  // Its memory is free while the caller closes.
    --active_requests;
    if (write_error) co_return;
    if (!keeps_open) {
      ++closing_connections;
      co_await LingeringClose(*client);
      --closing_connections;
      co_return;
    }
  }
}

net::awaitable<void> listener::state::Accept() {
  const auto self = shared_from_this();
  error_code error;
  auto token = net::redirect_error(net::use_awaitable, error);
  while (!closed) {
    tcp::socket socket(acceptor.get_executor());
    co_await acceptor.async_accept(socket, token);
    if (error == net::error::operation_aborted) co_return;
    if (error) {
      net::steady_timer pause(acceptor.get_executor(), kAcceptPause);
      co_await pause.async_wait(token);
      continue;
    }
    if (connections >= options.max_connections) continue;
    error = socket.set_option(tcp::no_delay(true), error);
    if (options.dead_peer_timeout.count() > 0) {
      backend_servers::EnableDeadPeerDetection(socket,
                                               options.dead_peer_timeout);
    }
    net::co_spawn(acceptor.get_executor(),
                  Serve(std::make_shared<connection>(std::move(socket))),
                  net::detached);
  }
}

listener::listener(const net::any_io_executor& executor,
                   listener_options options)
    : state_(std::make_shared<state>(executor, std::move(options))) {}

listener::~listener() { Close(); }

base::status listener::Start() {
  error_code error;
  const base::address& listen_address = state_->options.address;
  tcp::acceptor& acceptor = state_->acceptor;
  const tcp::endpoint endpoint = backend_servers::ToEndpoint(listen_address);
  error = acceptor.open(endpoint.protocol(), error);
  if (!error) {
    error = acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) error = acceptor.bind(endpoint, error);
  if (!error) {
    error = acceptor.listen(net::socket_base::max_listen_connections, error);
  }
  if (error) {
    return base::Fail(
        error_kind::kBadSettings,
        "can't listen on " + listen_address.ToText() + ": " + error.message());
  }
  net::co_spawn(acceptor.get_executor(), state_->Accept(), net::detached);
  return base::success{};
}

void listener::DisableKeepAlive() { state_->allow_keep_alive = false; }

void listener::Close() {
  state_->closed = true;
  error_code ignored;
  ignored = state_->acceptor.close(ignored);
  for (const auto& each : state_->idle) {
    ignored = each->stream.socket().close(ignored);
  }
}

int listener::ActiveRequests() const { return state_->active_requests; }

int listener::ClosingConnections() const { return state_->closing_connections; }

}  // namespace fireflyspar::proxy
