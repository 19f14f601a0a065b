#include "backend_servers/exchange.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <memory>
#include <optional>

#include "backend_servers/answer_reader.h"
#include "backend_servers/headers.h"

namespace fireflyspar::backend_servers {
namespace {

using boost::system::error_code;
using steady = std::chrono::steady_clock;

// Makes a cancellation stop the connection's operations and the wait for room,
// for the lifetime of the object.
class cancel_scope {
 public:
  cancel_scope(cancellation& cancel, connection& used, answer_room& room)
      : cancel_(cancel) {
    cancel_.OnCancel([&used, &room] {
      used.stream.cancel();
      room.Cancel();
    });
  }
  ~cancel_scope() { cancel_.OnCancel(nullptr); }
  cancel_scope(const cancel_scope&) = delete;
  cancel_scope& operator=(const cancel_scope&) = delete;

 private:
  cancellation& cancel_;
};

exchange_result MakeFailure(const cancellation& cancel, const error_code& error,
                            bool sent) {
  exchange_result result{.sent = sent, .detail = error.message()};
  if (cancel.IsCancelled()) {
    result.end = exchange_outcome::kCancelled;
  } else if (error == beast::error::timeout) {
    result.end = exchange_outcome::kTimedOut;
  }
  return result;
}

// Has to be done before the connection is made.
error_code LimitReceiveBuffer(tcp::socket& socket, const tcp::endpoint& to,
                              int bytes) {
  error_code error;
  error = socket.open(to.protocol(), error);
  if (error) return error;
  error_code ignored;
  ignored =
      socket.set_option(net::socket_base::receive_buffer_size(bytes), ignored);
  return error;
}

net::awaitable<error_code> Connect(connection& fresh,
                                   const exchange_options& options) {
  error_code error;
  fresh.stream.expires_at(
      std::min(options.deadline, steady::now() + options.connect_timeout));
  const tcp::endpoint endpoint = ToEndpoint(options.to);
  if (options.receive_buffer_bytes > 0) {
    error = LimitReceiveBuffer(fresh.stream.socket(), endpoint,
                               options.receive_buffer_bytes);
    if (error) co_return error;
  }
  auto token = net::redirect_error(net::use_awaitable, error);
  co_await fresh.stream.async_connect(endpoint, token);
  if (!error) {
    error_code ignored;
    ignored = fresh.stream.socket().set_option(tcp::no_delay(true), ignored);
    if (options.dead_peer_timeout.count() > 0) {
      EnableDeadPeerDetection(fresh.stream.socket(), options.dead_peer_timeout);
    }
  }
  co_return error;
}

// Returns the id that the peer echoes; empty if it echoes none.
std::string_view IdOf(const http_request& request,
                      const exchange_options& options) {
  if (options.correlation_header.empty()) return {};
  return HeaderOf(request, options.correlation_header);
}

// Returns a pooled connection on which the answer to the request can be told
// from all others; null if there is none.
std::unique_ptr<connection> FindConnection(connection_pool& pool,
                                           const exchange_options& options,
                                           const http_request& request) {
  const std::string_view id = IdOf(request, options);
  const bool must_be_told_apart = !options.correlation_header.empty();
  if (must_be_told_apart && id.empty()) return nullptr;
  return pool.Acquire(options.to, options.max_idle,
                      [id](const connection& each) {
                        return id.empty() || !each.sent.MayContain(id);
                      });
}

// Sends the head and waits for "100 Continue". Sets `final_answer` if the peer
// sent one instead.
net::awaitable<error_code> SendHeadAndAwaitContinue(
    connection& used, const exchange_options& options, http_request& request,
    answer_reader& answers, std::optional<received_answer>& final_answer) {
  error_code error;
  request.set(http::field::expect, "100-continue");
  http::request_serializer<http::string_body> serializer(request);
  if (options.continue_timeout.count() > 0) {
    used.stream.expires_at(
        std::min(options.deadline, steady::now() + options.continue_timeout));
  }
  co_await http::async_write_header(
      used.stream, serializer, net::redirect_error(net::use_awaitable, error));
  if (error) co_return error;
  error = co_await answers.ReadContinue(final_answer);
  if (!error && !final_answer) used.stream.expires_at(options.deadline);
  co_return error;
}

// Returns how long the connection may stay in the pool: the time for which the
// peer keeps it when idle, less a margin for the network delay, and at most
// kMaxIdle.
std::chrono::milliseconds IdleLimit(const http_response& answer) {
  const std::string_view text = HeaderOf(answer, "Keep-Alive");
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = text.find(kName);
  if (at == std::string_view::npos) return connection_pool::kMaxIdle;
  int seconds = 0;
  const std::string_view number = text.substr(at + kName.size());
  std::from_chars(number.data(), number.data() + number.size(), seconds);
  constexpr int kUsedPercent = 60;
  return std::min<std::chrono::milliseconds>(
      connection_pool::kMaxIdle,
      std::chrono::seconds(seconds) * kUsedPercent / 100);
}

}  // namespace

net::awaitable<bool> CanConnect(net::any_io_executor executor, base::address to,
                                std::chrono::milliseconds timeout) {
  connection fresh(executor);
  const exchange_options options{.to = std::move(to),
                                 .deadline = steady::now() + timeout,
                                 .connect_timeout = timeout};
  const error_code error = co_await Connect(fresh, options);
  co_return !error;
}

net::awaitable<exchange_result> Exchange(connection_pool& pool,
                                         const exchange_options& options,
                                         http_request& request,
                                         cancellation& cancel) {
  exchange_result result;
  if (cancel.IsCancelled()) {
    result.end = exchange_outcome::kCancelled;
    co_return result;
  }
  std::unique_ptr<connection> used = FindConnection(pool, options, request);
  const bool is_fresh = used == nullptr;
  if (is_fresh) used = std::make_unique<connection>(pool.Executor());
  const std::string id(IdOf(request, options));
  if (!id.empty()) used->sent.Add(id);
  auto room = std::make_unique<answer_room>(pool.Answers(), pool.Executor());
  const cancel_scope scope(cancel, *used, *room);
  error_code error;
  if (is_fresh) {
    error = co_await Connect(*used, options);
    if (error) {
      result = MakeFailure(cancel, error, false);
      co_return result;
    }
  }
  if (options.may_send && !options.may_send()) {
    result.end = exchange_outcome::kTimedOut;
    result.detail = "the deadline passed before the request was sent";
    co_return result;
  }
  used->stream.expires_at(options.deadline);
  answer_reader answers(
      *used, *room,
      {.correlation_header = options.correlation_header,
       .accepts_close_delimited = options.accepts_close_delimited,
       .deadline = options.deadline,
       .request_id = id,
       .is_head_request = request.method() == http::verb::head,
       .is_first = is_fresh});
  std::optional<received_answer> answer;
  if (options.body_after_continue) {
    error = co_await SendHeadAndAwaitContinue(*used, options, request, answers,
                                              answer);
    if (error) {
      result = MakeFailure(cancel, error, false);
      co_return result;
    }
  }
  if (!answer) {
    auto token = net::redirect_error(net::use_awaitable, error);
    std::size_t written = 0;
    if (options.body_after_continue) {
      written = co_await net::async_write(used->stream,
                                          net::buffer(request.body()), token);
    } else {
      written = co_await http::async_write(used->stream, request, token);
    }
    if (error) {
      // If the operating system accepted no byte, none can have left this
      // instance. A write that was aborted on this side may report none
      // although the system accepted some.
      const bool was_aborted =
          cancel.IsCancelled() || error == beast::error::timeout;
      const std::size_t harmless =
          options.body_after_continue ? request.body().size() - 1 : 0;
      result = MakeFailure(cancel, error, written > harmless || was_aborted);
      co_return result;
    }
    answer.emplace();
    error = co_await answers.Read(*answer);
  }
  if (error) {
    result = MakeFailure(cancel, error, true);
    co_return result;
  }
  result.sent = true;
  result.answer = std::move(answer->message);
  if (room->IsHeld()) result.answer.room = std::move(room);
  if (options.check_exchange_id && HeaderOf(result.answer, kExchangeHeader) !=
                                       HeaderOf(request, kExchangeHeader)) {
    result.detail = "the answer belongs to another request";
    co_return result;
  }
  result.end = exchange_outcome::kAnswered;
  used->stream.expires_never();
  const bool may_reuse = answer->can_reuse_connection && request.keep_alive() &&
                         !used->sent.IsFull() && used->buffer.size() == 0;
  if (may_reuse) {
    pool.Release(options.to, std::move(used), IdleLimit(result.answer));
  }
  co_return result;
}

}  // namespace fireflyspar::backend_servers
