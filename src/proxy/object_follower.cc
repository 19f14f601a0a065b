#include "proxy/object_follower.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/retry_delay.h"

namespace fireflyspar::proxy {
namespace {

using base::error_kind;
using std::chrono::milliseconds;

// The longest wait of one watch.
constexpr milliseconds kWatchWait{30'000};

// Between two tries at a store that does not answer.
constexpr milliseconds kFirstRetry{100};
constexpr milliseconds kLongestRetry{1000};

// A store that says it has too many calls is left alone for longer.
constexpr int kOverRateFactor = 2;

// While suspended; ended by Restart.
constexpr std::chrono::hours kSuspension{1};

}  // namespace

net::awaitable<void> object_follower::Run() {
  for (;;) {
    while (is_suspended_) co_await Pause(kSuspension);
    bool is_following = co_await List();
    while (is_following) is_following = co_await Watch();
  }
}

void object_follower::Suspend() {
  is_suspended_ = true;
  if (watch_) watch_->Cancel();
}

void object_follower::Restart() {
  is_suspended_ = false;
  failures_in_row_ = 0;
  if (watch_) watch_->Cancel();
  pause_.cancel();
}

net::awaitable<bool> object_follower::List() {
  const auto listed = co_await options_.store->list(options_.kind);
  if (!listed) {
    const base::duration pause = RetryPause(listed.Failure());
    co_await Pause(pause);
    co_return false;
  }
  failures_in_row_ = 0;
  revision_ = listed->revision;
  options_.on_list(listed->objects);
  co_return true;
}

// False when the objects have to be listed again.
net::awaitable<bool> object_follower::Watch() {
  watch_ = std::make_shared<backend_servers::cancellation>();
  const auto watch = watch_;
  const auto heard = co_await options_.store->watch(
      options_.kind, revision_, kWatchWait, options_.may_be_late, *watch);
  watch_ = nullptr;
  if (watch->IsCancelled()) co_return false;
  if (!heard) {
    // A watch that was cut may have missed changes, and one from the same
    // revision may never hear of them.
    if (heard.Failure().Kind() != error_kind::kHistoryGone) {
      const base::duration pause = RetryPause(heard.Failure());
      co_await Pause(pause);
    }
    co_return false;
  }
  failures_in_row_ = 0;
  revision_ = std::max(revision_, heard->revision);
  for (const object_change& each : heard->changes) options_.on_change(each);
  const bool come_quickly = heard->changes.size() > 1;
  if (!heard->changes.empty()) co_await Pause(options_.gather);
  if (is_suspended_) co_return false;
  if (!come_quickly || options_.only_newest_of.empty()) co_return true;
  const bool is_following = co_await ReadUntilItRests();
  co_return is_following;
}

// False when the objects have to be listed again.
net::awaitable<bool> object_follower::ReadUntilItRests() {
  for (;;) {
    const auto read =
        co_await options_.store->get(options_.kind, options_.only_newest_of);
    if (!read || is_suspended_) co_return false;
    if (read->revision <= revision_) co_return true;
    revision_ = read->revision;
    options_.on_change({.object = *read});
    co_await Pause(options_.gather);
    if (is_suspended_) co_return false;
  }
}

net::awaitable<void> object_follower::Pause(base::duration span) {
  pause_.expires_after(span);
  boost::system::error_code ignored;
  co_await pause_.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

base::duration object_follower::RetryPause(const base::failure& failure) {
  const bool is_over_rate = failure.Kind() == error_kind::kPlatformOverRate;
  return base::RetryDelay(failures_in_row_++, kFirstRetry, kLongestRetry,
                          options_.random()) *
         (is_over_rate ? kOverRateFactor : 1);
}

}  // namespace fireflyspar::proxy
