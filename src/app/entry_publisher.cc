#include "app/entry_publisher.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

#include "base/retry_delay.h"
#include "config/json_document.h"
#include "proxy/server_entry_json.h"

namespace fireflyspar::app {
namespace {

using base::error_kind;
using base::event_priority;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

// Limits of the random delay before a failed write is retried.
constexpr milliseconds kFirstRetry{100};
constexpr milliseconds kLongestRetry{1000};

// Wait while there is nothing to write; a change ends it early.
constexpr milliseconds kIdleWait{60'000};

// Pauses between two looks at whether the entry is written, and at whether the
// server has ended.
constexpr milliseconds kSettlePoll{5};
constexpr milliseconds kEndPoll{500};

net::awaitable<void> Sleep(net::any_io_executor executor, base::duration span) {
  net::steady_timer timer(executor, span);
  boost::system::error_code ignored;
  co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

}  // namespace

void entry_publisher::SetDesired(const decisions::server_entry& desired) {
  desired_ = proxy::ToJson(desired);
  if (NeedsWrite()) wake_timer_.cancel();
}

void entry_publisher::OnStored(const proxy::stored_object& stored) {
  if (stored.revision < stored_.revision) return;
  stored_ = stored;
  if (NeedsWrite()) wake_timer_.cancel();
}

void entry_publisher::OnMissing(const base::store_revision& revision) {
  if (revision < stored_.revision) return;
  stored_ = {};
  if (NeedsWrite()) wake_timer_.cancel();
}

bool entry_publisher::NeedsWrite() const {
  return desired_ && !is_withdrawn_ && stored_.content != *desired_;
}

net::awaitable<void> entry_publisher::Wait(base::duration span) {
  wake_timer_.expires_after(span);
  boost::system::error_code ignored;
  co_await wake_timer_.async_wait(
      net::redirect_error(net::use_awaitable, ignored));
}

net::awaitable<bool> entry_publisher::Write() {
  proxy::stored_object object{.name = options_.instance,
                              .revision = stored_.revision,
                              .content = *desired_};
  const auto written =
      co_await options_.store->put_content(options_.kind, object);
  options_.log->Write(event_priority::kStateChange, "entry_written",
                      {{"entry", config::DumpJson(object.content)},
                       {"result", base::NameOfResult(written)}});
  if (written) {
    stored_ = *written;
    stored_.content = object.content;
    co_return true;
  }
  const error_kind kind = written.Failure().Kind();
  const bool must_read = kind == error_kind::kConflict ||
                         kind == error_kind::kNotFound ||
                         kind == error_kind::kResponseLost;
  if (!must_read) co_return false;
  const auto current =
      co_await options_.store->get(options_.kind, options_.instance, false);
  if (current) {
    stored_ = *current;
  } else if (current.Failure().Kind() == error_kind::kNotFound) {
    stored_ = {};
  }
  co_return false;
}

net::awaitable<void> entry_publisher::ReadFirst() {
  for (int failures = 0; !has_read_; ++failures) {
    const auto current =
        co_await options_.store->get(options_.kind, options_.instance, false);
    const bool is_known =
        current || current.Failure().Kind() == error_kind::kNotFound;
    if (is_known) {
      has_read_ = true;
      if (current) OnStored(*current);
      options_.on_first_read(current ? std::optional(*current) : std::nullopt);
      co_return;
    }
    co_await Wait(base::RetryDelay(failures, kFirstRetry, kLongestRetry,
                                   options_.random()));
  }
}

net::awaitable<void> entry_publisher::Settle(base::duration limit) const {
  const auto end = steady::now() + limit;
  while (!IsSettled() && steady::now() < end) {
    co_await Sleep(options_.executor, kSettlePoll);
  }
}

net::awaitable<void> entry_publisher::Run() {
  co_await ReadFirst();
  int failures = 0;
  for (;;) {
    if (!NeedsWrite()) {
      co_await Wait(kIdleWait);
      continue;
    }
    const bool is_written = co_await Write();
    if (is_written) {
      failures = 0;
      continue;
    }
    const base::duration delay = base::RetryDelay(
        failures++, kFirstRetry, kLongestRetry, options_.random());
    co_await Wait(delay);
  }
}

net::awaitable<void> entry_publisher::Withdraw() {
  for (;;) {
    const bool has_ended = co_await options_.has_server_ended();
    if (has_ended) break;
    co_await Sleep(options_.executor, kEndPoll);
  }
  is_withdrawn_ = true;
  if (stored_.revision.IsNone()) co_return;
  const auto removed = co_await options_.store->remove(
      options_.kind, options_.instance, stored_.revision);
  options_.log->Write(event_priority::kStateChange, "entry_withdrawn",
                      {{"result", base::NameOfResult(removed)}});
}

}  // namespace fireflyspar::app
