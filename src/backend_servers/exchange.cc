#include "backend_servers/exchange.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <memory>
#include <optional>

#include "backend_servers/headers.h"

namespace fireflyspar::backend_servers {
namespace {

using boost::system::error_code;
using steady = std::chrono::steady_clock;

// Answers read on one connection in search of the one to the current request.
// If all of them belong to earlier requests, the exchange fails.
constexpr int kMaxStaleAnswers = 4;

// Informational answers (1xx) before the final one.
constexpr int kMaxInformational = 8;

// Makes a cancellation stop the connection's operations, for the lifetime of
// the object.
class cancel_scope {
 public:
  cancel_scope(cancellation& cancel, connection& used) : cancel_(cancel) {
    cancel_.OnCancel([&used] { used.stream.cancel(); });
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

net::awaitable<error_code> Connect(connection& fresh,
                                   const exchange_options& options) {
  error_code error;
  fresh.stream.expires_at(
      std::min(options.deadline, steady::now() + options.connect_timeout));
  const tcp::endpoint endpoint = ToEndpoint(options.to);
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

using answer_parser = http::response_parser<http::string_body>;

bool IsInformational(const answer_parser& parser) {
  return parser.get().result_int() / 100 == 1;
}

// Reads one whole answer and skips informational ones (1xx). Sets `stays_open`
// to false when the answer was the last on its connection.
net::awaitable<error_code> ReadAnswer(connection& used, bool is_head_request,
                                      bool accepts_close_delimited,
                                      bool& stays_open, http_response& answer) {
  error_code error;
  auto token = net::redirect_error(net::use_awaitable, error);
  std::optional<answer_parser> parser;
  int informational = 0;
  do {
    if (informational++ > kMaxInformational) co_return http::error::bad_status;
    parser.emplace();
    parser->header_limit(kMaxHeaderBytes);
    parser->body_limit(kMaxResponseBytes);
    parser->skip(is_head_request);
    // The head is read alone: when it is read along with the body, the parser
    // passes over an error that it found in the head, such as a length above
    // the limit, and reserves the memory.
    co_await http::async_read_header(used.stream, used.buffer, *parser, token);
    if (error) co_return error;
  } while (IsInformational(*parser));
  if (!parser->is_done()) {
    co_await http::async_read(used.stream, used.buffer, *parser, token);
    if (error) co_return error;
  }
  const bool is_close_delimited = !is_head_request && parser->need_eof();
  if (is_close_delimited && !accepts_close_delimited) {
    co_return http::error::partial_message;
  }
  stays_open = !is_close_delimited && parser->keep_alive();
  answer = parser->release();
  if (is_close_delimited || answer.chunked()) {
    // The whole body was read, so its length is known now.
    answer.erase(http::field::transfer_encoding);
    answer.erase(http::field::trailer);
    if (!is_head_request) answer.content_length(answer.body().size());
  }
  co_return error;
}

// Returns the id that the peer echoes; empty if it echoes none.
std::string_view IdOf(const http_request& request,
                      const exchange_options& options) {
  if (options.correlation_header.empty()) return {};
  return HeaderOf(request, options.correlation_header);
}

enum class answer_owner { kThisRequest, kOtherRequest, kNobodyKnows };

// Tells by the correlation header whose answer this is. One without the header
// can only be trusted on a connection without earlier requests.
answer_owner OwnerOf(const http_response& answer, std::string_view request_id,
                     const std::string& header, bool is_fresh) {
  if (request_id.empty()) return answer_owner::kThisRequest;
  const std::string_view echoed = HeaderOf(answer, header);
  if (echoed.empty()) {
    return is_fresh ? answer_owner::kThisRequest : answer_owner::kNobodyKnows;
  }
  return echoed == request_id ? answer_owner::kThisRequest
                              : answer_owner::kOtherRequest;
}

// Reads the answer to `request` and skips answers to earlier requests. Sets
// `stays_open` to false when it skipped any, since the connection must not be
// used again then.
net::awaitable<error_code> ReadMatchingAnswer(connection& used,
                                              const exchange_options& options,
                                              const http_request& request,
                                              bool is_fresh, bool& stays_open,
                                              http_response& answer) {
  const bool is_head_request = request.method() == http::verb::head;
  bool none_skipped = true;
  for (int stale = 0; stale < kMaxStaleAnswers; ++stale) {
    const error_code error = co_await ReadAnswer(
        used, is_head_request, options.accepts_close_delimited, stays_open,
        answer);
    if (error) co_return error;
    const answer_owner owner = OwnerOf(answer, IdOf(request, options),
                                       options.correlation_header, is_fresh);
    if (owner == answer_owner::kThisRequest) {
      stays_open = stays_open && none_skipped;
      co_return error;
    }
    if (owner == answer_owner::kNobodyKnows) break;
    none_skipped = false;
    if (!stays_open) break;
  }
  co_return http::error::bad_value;
}

// Sends the head and waits for "100 Continue". Sets `has_final_answer` when the
// peer sent a final answer instead, and stores that in `answer`.
net::awaitable<error_code> SendHeadAndAwaitContinue(
    connection& used, const exchange_options& options, http_request& request,
    bool& has_final_answer, http_response& answer) {
  error_code error;
  auto token = net::redirect_error(net::use_awaitable, error);
  request.set(http::field::expect, "100-continue");
  http::request_serializer<http::string_body> serializer(request);
  if (options.continue_timeout.count() > 0) {
    used.stream.expires_at(
        std::min(options.deadline, steady::now() + options.continue_timeout));
  }
  co_await http::async_write_header(used.stream, serializer, token);
  if (error) co_return error;
  answer_parser parser;
  parser.header_limit(kMaxHeaderBytes);
  parser.body_limit(kMaxResponseBytes);
  co_await http::async_read_header(used.stream, used.buffer, parser, token);
  if (error) co_return error;
  if (IsInformational(parser)) {
    used.stream.expires_at(options.deadline);
    co_return error;
  }
  co_await http::async_read(used.stream, used.buffer, parser, token);
  has_final_answer = true;
  answer = parser.release();
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
  std::unique_ptr<connection> used = pool.Acquire(options.to, options.max_idle);
  // On a connection that carried the same request before, as after a refusal,
  // nobody could tell a second copy of the first answer from the next one.
  const std::string_view id = IdOf(request, options);
  if (used && !id.empty() && used->last_id == id) used.reset();
  const bool is_fresh = used == nullptr;
  if (is_fresh) used = std::make_unique<connection>(pool.Executor());
  used->last_id = id;
  const cancel_scope scope(cancel, *used);
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
  auto token = net::redirect_error(net::use_awaitable, error);
  bool stays_open = true;
  bool has_final_answer = false;
  if (options.body_after_continue) {
    error = co_await SendHeadAndAwaitContinue(*used, options, request,
                                              has_final_answer, result.answer);
    if (error) {
      result = MakeFailure(cancel, error, false);
      co_return result;
    }
    stays_open = !has_final_answer || result.answer.keep_alive();
  }
  if (!has_final_answer) {
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
    error = co_await ReadMatchingAnswer(*used, options, request, is_fresh,
                                        stays_open, result.answer);
  }
  if (error) {
    result = MakeFailure(cancel, error, true);
    co_return result;
  }
  if (options.check_exchange_id && HeaderOf(result.answer, kExchangeHeader) !=
                                       HeaderOf(request, kExchangeHeader)) {
    result.sent = true;
    result.detail = "the answer belongs to another request";
    co_return result;
  }
  result.end = exchange_outcome::kAnswered;
  result.sent = true;
  used->stream.expires_never();
  if (stays_open && used->buffer.size() == 0) {
    pool.Release(options.to, std::move(used), IdleLimit(result.answer));
  }
  co_return result;
}

}  // namespace fireflyspar::backend_servers
