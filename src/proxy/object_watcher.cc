#include "proxy/object_watcher.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "base/retry_delay.h"

namespace fireflyspar::proxy {
namespace {

using base::error_kind;
using std::chrono::milliseconds;

// Maximum duration of one watch.
constexpr milliseconds kWatchWait{30'000};

// Greatest delay before the next call to a store that does not respond: after
// the first failure, and after any later one.
constexpr milliseconds kFirstRetry{100};
constexpr milliseconds kLongestRetry{1000};

// Factor on the delay when the store refuses a call because its rate limit is
// exceeded.
constexpr int kOverRateFactor = 2;

// Length of one pause while suspended; Restart ends it early.
constexpr std::chrono::hours kSuspension{1};

}  // namespace

net::awaitable<void> object_watcher::Run() {
  for (;;) {
    while (is_suspended_) co_await Pause(kSuspension);
    bool can_watch = co_await List();
    while (can_watch) can_watch = co_await Watch();
  }
}

void object_watcher::Suspend() {
  is_suspended_ = true;
  is_rewatching_ = false;
  if (watch_) watch_->Cancel();
}

void object_watcher::Restart() {
  is_suspended_ = false;
  is_rewatching_ = false;
  consecutive_failures_ = 0;
  if (watch_) watch_->Cancel();
  pause_.cancel();
}

void object_watcher::Rewatch() {
  if (!watch_ || is_suspended_) return;
  is_rewatching_ = true;
  watch_->Cancel();
}

net::awaitable<bool> object_watcher::List() {
  // A late list may return a revision whose history is gone, again and again.
  const bool may_be_late =
      options_.may_list_late() && !std::exchange(is_history_gone_, false);
  const auto listed = co_await options_.store->list(options_.kind, may_be_late);
  if (!listed) {
    const base::duration pause = RetryPause(listed.Failure());
    co_await Pause(pause);
    co_return false;
  }
  consecutive_failures_ = 0;
  revision_ = listed->revision;
  options_.on_list(*listed);
  co_return true;
}

// Returns false if the objects must be listed again.
net::awaitable<bool> object_watcher::Watch() {
  watch_ = std::make_shared<backend_servers::cancellation>();
  const auto watch = watch_;
  const auto watched = co_await options_.store->watch(
      options_.kind, revision_, kWatchWait, options_.may_watch_late(), *watch);
  watch_ = nullptr;
  if (watch->IsCancelled()) co_return std::exchange(is_rewatching_, false);
  if (!watched) {
    // A watch that failed may have missed changes, and another watch from the
    // same revision may never report them.
    is_history_gone_ = watched.Failure().Kind() == error_kind::kHistoryGone;
    if (!is_history_gone_) {
      const base::duration pause = RetryPause(watched.Failure());
      co_await Pause(pause);
    }
    co_return false;
  }
  consecutive_failures_ = 0;
  revision_ = std::max(revision_, watched->revision);
  for (const object_change& each : watched->changes) options_.on_change(each);
  options_.on_watched(watched->revision);
  const bool has_several_changes = watched->changes.size() > 1;
  if (!watched->changes.empty()) co_await Pause(options_.coalesce_delay());
  if (is_suspended_) co_return false;
  if (!has_several_changes || options_.latest_only_object.empty()) {
    co_return true;
  }
  const bool can_watch = co_await PollUntilUnchanged();
  co_return can_watch;
}

// Returns false if the objects must be listed again.
net::awaitable<bool> object_watcher::PollUntilUnchanged() {
  for (;;) {
    const auto read = co_await options_.store->get(
        options_.kind, options_.latest_only_object, options_.may_watch_late());
    if (!read || is_suspended_) co_return false;
    if (read->revision <= revision_) co_return true;
    revision_ = read->revision;
    options_.on_change({.object = *read});
    co_await Pause(options_.coalesce_delay());
    if (is_suspended_) co_return false;
  }
}

net::awaitable<void> object_watcher::Pause(base::duration span) {
  pause_.expires_after(span);
  boost::system::error_code ignored;
  co_await pause_.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

base::duration object_watcher::RetryPause(const base::failure& failure) {
  const bool is_over_rate = failure.Kind() == error_kind::kPlatformOverRate;
  return base::RetryDelay(consecutive_failures_++, kFirstRetry, kLongestRetry,
                          options_.random()) *
         (is_over_rate ? kOverRateFactor : 1);
}

}  // namespace fireflyspar::proxy
