#include "notice_server.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <memory>

namespace fireflyspar::proxy {
namespace {

using std::chrono::milliseconds;
namespace http = backend_servers::http;

constexpr milliseconds kWork{5};

base::address FreeAddress(net::io_context& loop) {
  const net::ip::tcp::acceptor probe(loop,
                                     {net::ip::address_v4::loopback(), 0});
  return {.ip = "127.0.0.1", .port = probe.local_endpoint().port()};
}

call_offer OfferToServer() {
  return {.service = "stock",
          .version = "v1",
          .route = "r-1",
          .wait_limit = milliseconds(20),
          .left = milliseconds(400),
          .time_to_objective = milliseconds(200),
          .typical_duration = kWork};
}

}  // namespace

decisions::server_info notice_server::Info() {
  return {.id = "i-1",
          .service = "stock",
          .version = "v1",
          .slots = 20,
          .start_ms = 1};
}

notice_server::notice_server(notice_texts said)
    : said_(std::move(said)),
      address_(FreeAddress(loop_)),
      log_({.write = [](std::string_view bytes) { return bytes.size(); },
            .clock = base::SystemClock()}) {
  server_.emplace(
      loop_.get_executor(),
      listener_options{.address = address_,
                       .handler = [this](auto& call) { return Serve(call); }});
  REQUIRE(server_->Start());
  RestartGate();
}

void notice_server::RestartGate() {
  gate_.emplace(gate_options{.executor = loop_.get_executor(),
                             .headers = {.request_id = "Request-Id",
                                         .request_limit = "Server-Limit",
                                         .is_leaving = "Server-Leaving"},
                             .clock = base::SystemClock(),
                             .metrics = &metrics_,
                             .log = &log_,
                             .on_change = [](const auto&) {}});
  gate_->OnHeartbeat(
      {.server = Info(), .address = address_, .sequence = ++reports_});
}

net::awaitable<backend_servers::http_response> notice_server::Serve(
    served_call& call) {
  arrivals_.push_back(steady::now());
  net::steady_timer work(loop_, kWork);
  co_await work.async_wait(net::use_awaitable);
  backend_servers::http_response answer(http::status::ok, 11);
  if (!said_.limit.empty()) answer.set("Server-Limit", said_.limit);
  if (!said_.leaving.empty()) answer.set("Server-Leaving", said_.leaving);
  answer.set("Request-Id", call.request["Request-Id"]);
  answer.prepare_payload();
  co_return answer;
}

net::awaitable<void> notice_server::OfferOne(call_offer offer,
                                             gate_outcome& outcome) {
  backend_servers::http_request request{http::verb::get, "/p", 11};
  request.set("Request-Id", std::to_string(++offered_));
  backend_servers::cancellation never;
  outcome = co_await gate_->Run(offer, request, nullptr, never);
}

gate_outcome notice_server::Offer(std::optional<told_notices> told) {
  gate_outcome outcome;
  call_offer offer = OfferToServer();
  offer.told = std::move(told);
  bool has_ended = false;
  net::co_spawn(loop_, OfferOne(std::move(offer), outcome),
                [&](const std::exception_ptr&) { has_ended = true; });
  loop_.restart();
  while (!has_ended) loop_.run_one();
  return outcome;
}

void notice_server::OfferFor(milliseconds span, milliseconds gap) {
  std::vector<std::unique_ptr<gate_outcome>> outcomes;
  int unfinished = 1;
  const auto on_end = [&](const std::exception_ptr&) { --unfinished; };
  const auto end = steady::now() + span;
  const auto offer_all = [&]() -> net::awaitable<void> {
    for (int count = 0; steady::now() < end; ++count) {
      call_offer offer = OfferToServer();
      offer.is_local = count % 3 == 0;
      offer.is_nested_call = count % 5 == 0;
      outcomes.push_back(std::make_unique<gate_outcome>());
      ++unfinished;
      net::co_spawn(loop_, OfferOne(offer, *outcomes.back()), on_end);
      net::steady_timer pause(loop_, gap);
      co_await pause.async_wait(net::use_awaitable);
    }
  };
  net::co_spawn(loop_, offer_all, on_end);
  loop_.restart();
  while (unfinished > 0) loop_.run_one();
}

std::int64_t notice_server::MostArrivalsIn(milliseconds span,
                                           steady::time_point from) const {
  std::int64_t most = 0;
  for (auto first = std::ranges::lower_bound(arrivals_, from);
       first != arrivals_.end(); ++first) {
    const auto last =
        std::ranges::lower_bound(first, arrivals_.end(), *first + span);
    most = std::max<std::int64_t>(most, last - first);
  }
  return most;
}

}  // namespace fireflyspar::proxy
