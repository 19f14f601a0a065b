#include "app/graceful_shutdown.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <string>

namespace fireflyspar::app {
namespace {

using base::event_priority;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

// The length of the first phase: two readiness checks, one a second, and the
// time until the second one is noticed.
constexpr milliseconds kServeAfterSignal{2300};

// Requests that have not ended this long before SIGKILL are answered without
// their outcome.
constexpr milliseconds kShutdownMargin{600};

// Requests that can still run do so by this long before that.
constexpr milliseconds kLastAnswerMargin{300};

// Time for writing the last answers, and how long the connections that carry
// them are waited for.
constexpr milliseconds kWriteTime{200};
constexpr milliseconds kCloseTime{350};

// Pause between two notices to gates, any of which may be lost.
constexpr milliseconds kNoticePause{200};

constexpr milliseconds kPoll{20};

}  // namespace

net::awaitable<void> graceful_shutdown::Run() {
  const auto begun = steady::now();
  const auto limit = begun + options_.limit - kShutdownMargin;
  Begin(limit - kLastAnswerMargin);
  co_await ServeUntil(std::min(begun + kServeAfterSignal, limit));
  options_.gate->Close();
  options_.router->StartDraining();
  co_await Finish(limit);
  const int unfinished = ActiveCallers();
  co_await AnswerTheRest(
      std::min(limit + kWriteTime, steady::now() + kCloseTime));
  options_.log->Write(event_priority::kStateChange, "stopped",
                      {{"unfinished", std::to_string(unfinished)},
                       {"cut_off", std::to_string(ActiveCallers())}});
}

void graceful_shutdown::Begin(steady_instant last_answer) {
  options_.log->Write(event_priority::kStateChange, "stopping", {});
  options_.caller_listener->DisableKeepAlive();
  options_.gate->EndBy(last_answer);
  options_.router->AnswerBy(last_answer);
  const auto& server = options_.gate->Server();
  const bool server_leaves =
      !server || server->condition == decisions::server_condition::kDraining;
  if (!server_leaves) return;
  net::co_spawn(options_.executor, options_.withdraw(), net::detached);
}

net::awaitable<void> graceful_shutdown::ServeUntil(steady_instant end) {
  for (auto now = steady::now(); now < end; now = steady::now()) {
    options_.router->TellGates();
    co_await Pause(std::chrono::duration_cast<base::duration>(
        std::min<steady::duration>(end - now, kNoticePause)));
  }
}

net::awaitable<void> graceful_shutdown::Finish(steady_instant end) {
  auto next_notice = steady::now();
  for (auto now = steady::now(); IsBusy() && now < end; now = steady::now()) {
    if (now >= next_notice) {
      options_.router->TellGates();
      next_notice = now + kNoticePause;
    }
    co_await Pause(kPoll);
  }
}

net::awaitable<void> graceful_shutdown::AnswerTheRest(steady_instant end) {
  options_.router->Abort();
  const auto is_writing = [this] {
    return std::ranges::any_of(options_.listeners, [](const auto& each) {
      return each->ClosingConnections() > 0;
    });
  };
  while ((ActiveCallers() > 0 || is_writing()) && steady::now() < end) {
    co_await Pause(kPoll);
  }
}

// An answer may still be on its way to another instance's router when nothing
// runs here any more.
bool graceful_shutdown::IsBusy() const {
  return options_.gate->Running() > 0 || HasUnsettledLeave() ||
         std::ranges::any_of(options_.listeners, [](const auto& each) {
           return each->ActiveRequests() > 0;
         });
}

bool graceful_shutdown::HasUnsettledLeave() const {
  const auto& server = options_.gate->Server();
  const bool leaves =
      server && server->condition == decisions::server_condition::kDraining;
  return leaves && !options_.is_entry_settled();
}

net::awaitable<void> graceful_shutdown::Pause(base::duration span) {
  net::steady_timer timer(options_.executor, span);
  boost::system::error_code ignored;
  co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

}  // namespace fireflyspar::app
