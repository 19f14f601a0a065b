#include "lab/load_generator.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <deque>
#include <iostream>
#include <memory>
#include <optional>

#include "backend_servers/headers.h"
#include "backend_servers/http.h"
#include "base/hooks.h"
#include "base/settings.h"
#include "lab/idempotency_key.h"

namespace fireflyspar::lab {
namespace {

using backend_servers::connection;
using backend_servers::http_request;
using boost::system::error_code;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
namespace net = boost::asio;
namespace http = boost::beast::http;

constexpr std::chrono::seconds kAnswerTimeout{10};

// One run of the load. A pacer puts the scheduled times of the calls into a
// queue, and each connection takes the next one when it is idle.
class load_run {
 public:
  explicit load_run(const load_options& options)
      : options_(options), loop_(1), wake_(loop_) {}

  load_result Run() {
    wake_.expires_at(steady_clock::time_point::max());
    for (int each = 0; each < options_.connections; ++each) {
      net::co_spawn(loop_, CallLoop(), net::detached);
    }
    net::co_spawn(loop_, Pace(), net::detached);
    loop_.run();
    std::ranges::sort(result_.latencies);
    return std::move(result_);
  }

 private:
  net::awaitable<void> Pace() {
    error_code ignored;
    auto token = net::redirect_error(net::use_awaitable, ignored);
    const auto begun = steady_clock::now();
    const auto total = static_cast<std::int64_t>(
        options_.rate *
        std::chrono::duration<double>(options_.duration).count());
    net::steady_timer timer(loop_);
    for (std::int64_t call = 0; call < total; ++call) {
      const auto offset = std::chrono::duration_cast<steady_clock::duration>(
          std::chrono::duration<double>(static_cast<double>(call) /
                                        options_.rate));
      timer.expires_at(begun + offset);
      if (steady_clock::now() < begun + offset) {
        co_await timer.async_wait(token);
      }
      due_times_.push_back(begun + offset);
      wake_.cancel_one();
    }
    all_scheduled_ = true;
    wake_.cancel();
  }

  net::awaitable<void> CallLoop() {
    error_code ignored;
    auto token = net::redirect_error(net::use_awaitable, ignored);
    std::unique_ptr<connection> open_connection;
    for (;;) {
      while (due_times_.empty() && !all_scheduled_) {
        co_await wake_.async_wait(token);
      }
      if (due_times_.empty()) co_return;
      const auto scheduled_time = due_times_.front();
      due_times_.pop_front();
      co_await CallOnce(open_connection, scheduled_time);
    }
  }

  net::awaitable<void> CallOnce(std::unique_ptr<connection>& open_connection,
                                steady_clock::time_point scheduled_time) {
    ++result_.sent;
    error_code error;
    auto token = net::redirect_error(net::use_awaitable, error);
    if (!open_connection) {
      open_connection = std::make_unique<connection>(loop_.get_executor());
      open_connection->stream.expires_after(kAnswerTimeout);
      const auto endpoint = backend_servers::ToEndpoint(options_.target);
      co_await open_connection->stream.async_connect(endpoint, token);
      if (!error) {
        error = open_connection->stream.socket().set_option(
            net::ip::tcp::no_delay(true), error);
      }
    }
    // The server echoes the target, so an answer can be matched to its call.
    const std::string target =
        options_.path + "?call=" + std::to_string(result_.sent);
    http_request request = MakeRequest(target);
    http::response_parser<http::string_body> parser;
    parser.body_limit(backend_servers::kMaxResponseBytes);
    parser.skip(request.method() == http::verb::head);
    if (!error) {
      open_connection->stream.expires_after(kAnswerTimeout);
      co_await http::async_write(open_connection->stream, request, token);
    }
    if (!error) {
      co_await http::async_read(open_connection->stream,
                                open_connection->buffer, parser, token);
    }
    if (error || parser.need_eof()) {
      ++result_.cut;
      open_connection.reset();
      co_return;
    }
    const auto& answer = parser.get();
    ++result_.by_status[static_cast<int>(answer.result_int())];
    result_.latencies.push_back(std::chrono::duration_cast<microseconds>(
        steady_clock::now() - scheduled_time));
    const bool is_ok = answer.result() == http::status::ok;
    const bool echoes = answer.body().find(target + "\"") != std::string::npos;
    if (is_ok && !answer.body().empty() && !echoes) {
      ++result_.mismatched_answers;
    }
    if (!answer.keep_alive()) open_connection.reset();
  }

  http_request MakeRequest(const std::string& target) {
    http_request request(http::string_to_verb(options_.method), target, 11);
    request.set(http::field::host, options_.host);
    for (const auto& [name, value] : options_.headers) request.set(name, value);
    if (options_.idempotency_keys) {
      request.set(backend_servers::kIdempotencyHeader,
                  MakeIdempotencyKey(clock_(), random_));
    }
    request.body() =
        std::string(static_cast<std::size_t>(options_.body_bytes), 'x');
    if (!request.body().empty() || request.method() == http::verb::post) {
      request.prepare_payload();
    }
    return request;
  }

  const load_options& options_;
  base::clock_hook clock_ = base::SystemClock();
  base::random_hook random_ = base::SystemRandom();
  net::io_context loop_;
  net::steady_timer wake_;
  std::deque<steady_clock::time_point> due_times_;
  bool all_scheduled_ = false;
  load_result result_;
};

std::vector<base::setting> Table() {
  using enum base::setting_kind;
  return {
      {.name = "target",
       .kind = kAddress,
       .help = "address to call",
       .required = true},
      {.name = "rate",
       .kind = kNumber,
       .default_text = "100",
       .help = "calls a second",
       .min_value = 1,
       .max_value = 100000},
      {.name = "seconds",
       .kind = kNumber,
       .default_text = "5",
       .help = "length of the load in seconds",
       .min_value = 1,
       .max_value = 3600},
      {.name = "method", .default_text = "GET", .help = "HTTP method"},
      {.name = "path", .default_text = "/", .help = "path to call"},
      {.name = "connections",
       .kind = kNumber,
       .default_text = "4",
       .help = "number of connections",
       .min_value = 1,
       .max_value = 1000},
      {.name = "body-bytes",
       .kind = kNumber,
       .default_text = "0",
       .help = "size of each request's body",
       .max_value = 1000000},
      {.name = "idempotency-keys",
       .kind = kBool,
       .default_text = "false",
       .help = "send a new Idempotency-Key with each call"},
  };
}

}  // namespace

microseconds load_result::Quantile(double quantile) const {
  if (latencies.empty()) return microseconds{0};
  const auto rank = static_cast<std::size_t>(
      std::ceil(quantile * static_cast<double>(latencies.size())));
  return latencies[std::clamp<std::size_t>(rank, 1, latencies.size()) - 1];
}

nlohmann::json load_result::ToJson() const {
  nlohmann::json statuses = nlohmann::json::object();
  for (const auto& [status, count] : by_status) {
    statuses[std::to_string(status)] = count;
  }
  constexpr double kMicrosecondsPerMillisecond = 1000.0;
  const auto ms = [this](double quantile) {
    return static_cast<double>(Quantile(quantile).count()) /
           kMicrosecondsPerMillisecond;
  };
  return {{"sent", sent},         {"status", statuses},
          {"cut", cut},           {"wrong", mismatched_answers},
          {"p50_ms", ms(0.5)},    {"p99_ms", ms(0.99)},
          {"p999_ms", ms(0.999)}, {"max_ms", ms(1.0)}};
}

load_result RunLoad(const load_options& options) {
  return load_run(options).Run();
}

int RunLoadCommand(std::span<const std::string> arguments) {
  const std::vector<base::setting> table = Table();
  const auto line = base::ParseCommandLine(
      {.program = "fireflyspar-lab load",
       .summary = "sends calls at a steady rate and prints one JSON object",
       .table = table},
      arguments);
  if (!line.parsed) return line.exit_code;
  const base::settings& settings = *line.parsed;
  const load_result result =
      RunLoad({.target = settings.Address("target"),
               .rate = static_cast<double>(settings.Number("rate")),
               .duration = std::chrono::seconds(settings.Number("seconds")),
               .method = settings.Text("method"),
               .path = settings.Text("path"),
               .connections = static_cast<int>(settings.Number("connections")),
               .body_bytes = static_cast<int>(settings.Number("body-bytes")),
               .idempotency_keys = settings.Bool("idempotency-keys")});
  std::cout << result.ToJson().dump() << std::endl;
  return 0;
}

}  // namespace fireflyspar::lab
