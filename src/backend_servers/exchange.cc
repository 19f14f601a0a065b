#include "backend_servers/exchange.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <optional>

#include "backend_servers/headers.h"

namespace fireflyspar::backend_servers {
namespace {

using boost::system::error_code;
using steady = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kConnectTimeout{1000};

// Sets the cancellation's hook for as long as it lives.
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

exchange_result Failed(const cancellation& cancel, const error_code& error,
                       bool sent) {
  exchange_result result{.sent = sent, .detail = error.message()};
  if (cancel.IsCancelled()) {
    result.end = exchange_end::kCancelled;
  } else if (error == beast::error::timeout) {
    result.end = exchange_end::kTimedOut;
  }
  return result;
}

net::awaitable<error_code> Connect(connection& fresh,
                                   const exchange_options& options) {
  error_code error;
  fresh.stream.expires_at(
      std::min(options.deadline, steady::now() + kConnectTimeout));
  const tcp::endpoint endpoint = ToEndpoint(options.to);
  auto token = net::redirect_error(net::use_awaitable, error);
  co_await fresh.stream.async_connect(endpoint, token);
  if (!error) {
    error_code ignored;
    ignored = fresh.stream.socket().set_option(tcp::no_delay(true), ignored);
  }
  co_return error;
}

// Reads one answer, passing over those that are only provisional (1xx).
net::awaitable<error_code> ReadAnswer(connection& used, bool to_head,
                                      http_response& answer) {
  error_code error;
  auto token = net::redirect_error(net::use_awaitable, error);
  std::optional<http::response_parser<http::string_body>> parser;
  do {
    parser.emplace();
    parser->header_limit(kMaxHeaderBytes);
    parser->body_limit(kMaxResponseBytes);
    parser->skip(to_head);
    co_await http::async_read(used.stream, used.buffer, *parser, token);
    if (error) co_return error;
  } while (parser->get().result_int() / 100 == 1);
  // An answer that ends where its connection ends can't be told from a cut one.
  if (!to_head && parser->need_eof()) co_return http::error::partial_message;
  answer = parser->release();
  if (answer.chunked()) {
    // The chunks have been put together; from here on the length is known.
    answer.erase(http::field::transfer_encoding);
    answer.erase(http::field::trailer);
    if (!to_head) answer.content_length(answer.body().size());
  }
  co_return error;
}

}  // namespace

net::awaitable<exchange_result> Exchange(connection_pool& pool,
                                         const exchange_options& options,
                                         http_request& request,
                                         cancellation& cancel) {
  exchange_result result;
  if (cancel.IsCancelled()) {
    result.end = exchange_end::kCancelled;
    co_return result;
  }
  std::unique_ptr<connection> used = pool.Take(options.to);
  const bool is_fresh = used == nullptr;
  if (is_fresh) used = std::make_unique<connection>(pool.Executor());
  const cancel_scope scope(cancel, *used);
  error_code error;
  if (is_fresh) {
    error = co_await Connect(*used, options);
    if (error) {
      result = Failed(cancel, error, false);
      co_return result;
    }
  }
  if (options.may_send && !options.may_send()) {
    result.end = exchange_end::kTimedOut;
    result.detail = "the deadline passed before the request was sent";
    co_return result;
  }
  used->stream.expires_at(options.deadline);
  auto token = net::redirect_error(net::use_awaitable, error);
  const std::size_t written =
      co_await http::async_write(used->stream, request, token);
  if (error) {
    // With no byte taken by the system none can have left this machine. A write
    // that was broken off from here may have taken some.
    const bool broken_off =
        cancel.IsCancelled() || error == beast::error::timeout;
    result = Failed(cancel, error, written > 0 || broken_off);
    co_return result;
  }
  const bool to_head = request.method() == http::verb::head;
  error = co_await ReadAnswer(*used, to_head, result.answer);
  if (error) {
    result = Failed(cancel, error, true);
    co_return result;
  }
  if (options.check_exchange_id && HeaderOf(result.answer, kExchangeHeader) !=
                                       HeaderOf(request, kExchangeHeader)) {
    result.sent = true;
    result.detail = "the answer belongs to another request";
    co_return result;
  }
  result.end = exchange_end::kAnswered;
  result.sent = true;
  used->stream.expires_never();
  if (result.answer.keep_alive()) pool.Give(options.to, std::move(used));
  co_return result;
}

}  // namespace fireflyspar::backend_servers
