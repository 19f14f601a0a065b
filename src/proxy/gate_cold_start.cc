#include "proxy/gate_cold_start.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "backend_servers/exchange.h"
#include "proxy/header_values.h"

namespace fireflyspar::proxy {
namespace {

using backend_servers::exchange_outcome;
using backend_servers::HeaderOf;
using base::event_priority;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;
namespace http = backend_servers::http;

constexpr milliseconds kAnswerTimeout{500};

// Pause between two questions while the server does not answer.
constexpr milliseconds kAskPause{200};

// A server that names a longer time is believed for this long.
constexpr std::chrono::hours kMaxColdTime{24};

// Returns the time that the header names; zero if the answer has none.
std::optional<base::duration> ParseColdTime(std::string_view text) {
  if (text.empty()) return base::duration(0);
  const auto named = ParseMilliseconds(text);
  if (!named) return std::nullopt;
  return std::min<milliseconds>(*named, kMaxColdTime);
}

}  // namespace

cold_start_rules ColdStartRulesOf(const config::mesh_configuration* known,
                                  std::string_view service) {
  // Until the limit is known, a cold server gets nothing.
  if (known == nullptr) return {.requests_per_second = 0};
  const auto found =
      std::ranges::find(known->services, service, &config::mesh_service::name);
  const bool is_limited =
      found != known->services.end() && found->cold_requests_per_second > 0;
  if (!is_limited) return {};
  return {.requests_per_second = found->cold_requests_per_second,
          .health_path = found->health_path};
}

void gate_cold_start::Restart(const decisions::server_info& server,
                              base::address address,
                              base::steady_instant cold_until) {
  server_ = server;
  address_ = std::move(address);
  state_.Restart(cold_until);
}

std::optional<double> gate_cold_start::ColdLimit(
    base::steady_instant now) const {
  return Limit(std::nullopt, now);
}

std::optional<double> gate_cold_start::Limit(std::optional<double> other_limit,
                                             base::steady_instant now) const {
  if (!state_.IsCold(now)) return other_limit;
  return state_.Limit(Rules().requests_per_second, other_limit, now);
}

void gate_cold_start::OnUncertain() {
  const cold_start_rules rules = Rules();
  if (!rules.requests_per_second) return;
  state_.OnUncertain();
  options_.log->Write(event_priority::kStateChange, "server_may_be_cold",
                      {{"server", server_.id}});
  if (is_asking_) return;
  is_asking_ = true;
  net::co_spawn(options_.executor, AskUntilCertain(), net::detached);
}

net::awaitable<void> gate_cold_start::AskUntilCertain() {
  while (state_.IsUncertain()) {
    const decisions::server_info asked = server_;
    const auto cold_left = co_await Ask();
    // A report of a new start may have come meanwhile.
    const bool applies =
        state_.IsUncertain() && decisions::IsSameStart(asked, server_);
    if (cold_left && applies) {
      state_.OnAnswer(steady::now() + *cold_left);
      options_.log->Write(
          event_priority::kStateChange, "server_cold_time",
          {{"server", server_.id},
           {"cold_left_us", std::to_string(cold_left->count())}});
      options_.on_change();
      break;
    }
    net::steady_timer timer(options_.executor, kAskPause);
    boost::system::error_code ignored;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
  }
  is_asking_ = false;
}

net::awaitable<std::optional<base::duration>> gate_cold_start::Ask() {
  const std::string path = Rules().health_path;
  if (path.empty()) co_return std::nullopt;
  backend_servers::http_request request(http::verb::get, path, 11);
  request.keep_alive(false);
  request.prepare_payload();
  const backend_servers::exchange_options options{
      .to = address_,
      .deadline = steady::now() + kAnswerTimeout,
      .connect_timeout = kAnswerTimeout};
  options_.metrics->Counter("fireflyspar_health_questions_total")
      .fetch_add(1, std::memory_order_relaxed);
  const std::string asked_id = server_.id;
  backend_servers::cancellation never;
  const auto ended =
      co_await backend_servers::Exchange(pool_, options, request, never);
  const bool is_from_server =
      ended.end == exchange_outcome::kAnswered &&
      HeaderOf(ended.answer, options_.headers.server_id) == asked_id;
  if (!is_from_server) co_return std::nullopt;
  co_return ParseColdTime(HeaderOf(ended.answer, options_.headers.cold_ms));
}

}  // namespace fireflyspar::proxy
