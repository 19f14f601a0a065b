#include "backend_servers/blocking_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>
#include <future>
#include <utility>

namespace fireflyspar::backend_servers {
namespace {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

std::size_t HeadBytesOf(const http_response& answer) {
  constexpr std::size_t kStatusLineBytes = 17;
  constexpr std::size_t kSeparatorBytes = 4;
  std::size_t bytes = kStatusLineBytes;
  for (const auto& field : answer) {
    bytes +=
        field.name_string().size() + field.value().size() + kSeparatorBytes;
  }
  return bytes;
}

blocking_answer FromExchange(exchange_result ended) {
  blocking_answer answer{
      .end = ended.end, .sent = ended.sent, .detail = std::move(ended.detail)};
  if (ended.end != exchange_outcome::kAnswered) return answer;
  answer.status = ended.answer.result_int();
  answer.head_bytes = HeadBytesOf(ended.answer);
  answer.body = std::move(ended.answer.body());
  return answer;
}

}  // namespace

blocking_client::blocking_client(const answer_memory_options& answers)
    : work_(loop_.get_executor()),
      pool_(loop_.get_executor(), answers),
      thread_([this] { loop_.run(); }) {}

blocking_client::~blocking_client() {
  Interrupt();
  work_.reset();
  thread_.join();
}

void blocking_client::Interrupt() {
  net::post(loop_, [this] {
    is_interrupted_ = true;
    for (cancellation* each : calls_) each->Cancel();
  });
}

blocking_answer blocking_client::Call(const blocking_call_options& options,
                                      http_request request) {
  return net::co_spawn(loop_, Run(options, std::move(request)), net::use_future)
      .get();
}

net::awaitable<blocking_answer> blocking_client::Run(
    blocking_call_options options, http_request request) {
  const auto deadline = steady::now() + options.timeout;
  request.set(http::field::host, options.to.ToText());
  request.keep_alive(options.is_idempotent);
  request.prepare_payload();
  const milliseconds max_idle =
      options.is_idempotent ? connection_pool::kMaxIdle : milliseconds(0);
  blocking_answer answer =
      co_await RunOnce(options, request, deadline, max_idle);
  const bool is_broken = answer.end == exchange_outcome::kBroken;
  if (is_broken && answer.sent && options.is_idempotent) {
    // The connection may have been closed for idleness.
    answer = co_await RunOnce(options, request, deadline, milliseconds(0));
  }
  co_return answer;
}

net::awaitable<blocking_answer> blocking_client::RunOnce(
    const blocking_call_options& options, http_request& request,
    steady::time_point deadline, milliseconds max_idle) {
  cancellation cancel;
  calls_.insert(&cancel);
  if (is_interrupted_) cancel.Cancel();
  const exchange_options exchange{.to = options.to,
                                  .deadline = deadline,
                                  .connect_timeout = options.timeout,
                                  .max_idle = max_idle,
                                  .accepts_close_delimited = true};
  exchange_result ended = co_await Exchange(pool_, exchange, request, cancel);
  calls_.erase(&cancel);
  co_return FromExchange(std::move(ended));
}

}  // namespace fireflyspar::backend_servers
