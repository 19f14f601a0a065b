#include "proxy/shared_object_puller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "backend_servers/exchange.h"

namespace fireflyspar::proxy {
namespace {

using backend_servers::exchange_outcome;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;
namespace http = backend_servers::http;

constexpr milliseconds kPullTimeout{1500};
constexpr milliseconds kConnectTimeout{150};

// Pause after a failure, before the next peer is asked.
constexpr milliseconds kFailurePause{100};

}  // namespace

void shared_object_puller::OnPeerHolds(const base::address& peer,
                                       const shared_revisions& held,
                                       const shared_revisions& own) {
  for (std::size_t i = 0; i < held.size(); ++i) {
    if (held[i] <= own[i] || is_pulling_[i]) continue;
    is_pulling_[i] = true;
    net::co_spawn(options_.executor, Pull(kSharedKinds[i], peer),
                  net::detached);
  }
}

net::awaitable<base::status> shared_object_puller::Ask(shared_kind kind,
                                                       base::address from) {
  backend_servers::http_request request(http::verb::get, SharedPath(kind), 11);
  request.keep_alive(true);
  request.prepare_payload();
  const backend_servers::exchange_options options{
      .to = from,
      .deadline = steady::now() + kPullTimeout,
      .connect_timeout = kConnectTimeout};
  backend_servers::cancellation never;
  const auto ended =
      co_await backend_servers::Exchange(peers_, options, request, never);
  const bool is_answered = ended.end == exchange_outcome::kAnswered &&
                           ended.answer.result() == http::status::ok;
  if (!is_answered) {
    co_return base::Fail(base::error_kind::kPeerUnavailable, ended.detail);
  }
  const auto objects = DecodeSharedObjects(ended.answer.body());
  if (!objects) co_return objects.Failure();
  for (const stored_object& each : *objects) options_.on_object(kind, each);
  co_return base::success{};
}

net::awaitable<void> shared_object_puller::Pull(shared_kind kind,
                                                base::address from) {
  const base::status asked = co_await Ask(kind, from);
  options_.log->Write(base::event_priority::kStateChange, "pulled_from_peer",
                      {{"peer", from.ToText()},
                       {"path", SharedPath(kind)},
                       {"result", base::NameOfResult(asked)},
                       {"detail", asked ? "" : asked.Failure().detail}});
  if (!asked) {
    net::steady_timer timer(options_.executor, kFailurePause);
    boost::system::error_code ignored;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
  }
  is_pulling_[static_cast<std::size_t>(kind)] = false;
}

}  // namespace fireflyspar::proxy
