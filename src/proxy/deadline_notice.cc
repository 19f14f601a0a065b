#include "proxy/deadline_notice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <utility>

#include "backend_servers/exchange.h"
#include "proxy/header_words.h"

namespace fireflyspar::proxy {
namespace {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;
namespace http = backend_servers::http;

constexpr milliseconds kConnectTimeout{150};
constexpr milliseconds kTimeout{500};

// A process that ends has less time left.
constexpr std::chrono::hours kMaxLeft{24};

}  // namespace

std::string ToText(const deadline_notice& notice) {
  word_writer words;
  words.Add(notice.left);
  for (const std::string& each : notice.request_ids) words.Add(each);
  return std::move(words).Text();
}

std::optional<deadline_notice> ParseDeadlineNotice(std::string_view text) {
  word_reader words(text);
  deadline_notice notice{.left = words.Duration()};
  while (words.Ok() && !words.AtEnd()) {
    notice.request_ids.push_back(words.Word());
  }
  const bool is_valid =
      words.Ok() && notice.left.count() >= 0 && notice.left <= kMaxLeft;
  return is_valid ? std::optional(std::move(notice)) : std::nullopt;
}

void deadline_notifier::Send(const base::address& gate,
                             const deadline_notice& notice) {
  net::co_spawn(pool_.Executor(), SendText(gate, ToText(notice)),
                net::detached);
}

net::awaitable<void> deadline_notifier::SendText(base::address gate,
                                                 std::string text) {
  backend_servers::http_request request(http::verb::post, kDeadlinesPath, 11);
  request.keep_alive(true);
  request.body() = std::move(text);
  request.prepare_payload();
  const backend_servers::exchange_options options{
      .to = std::move(gate),
      .deadline = steady::now() + kTimeout,
      .connect_timeout = kConnectTimeout};
  backend_servers::cancellation never;
  co_await backend_servers::Exchange(pool_, options, request, never);
}

}  // namespace fireflyspar::proxy
