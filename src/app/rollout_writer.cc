#include "app/rollout_writer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "config/json_document.h"

namespace fireflyspar::app {
namespace {

using base::event_priority;
using decisions::rollout_order;
using decisions::rollout_state;
using std::chrono::milliseconds;

// Longest random delay before the first attempt to write a running state or an
// outcome.
constexpr milliseconds kRunningWait{400};
constexpr milliseconds kOutcomeWait{250};

// Time that a process which reads late leaves to the others, and the longest
// random delay after it.
constexpr milliseconds kLateReaderWait{1500};

// Longest random delay before a failed write is retried.
constexpr milliseconds kRetryWait{500};

constexpr int kMaxAttempts = 40;

}  // namespace

void rollout_writer::OnObject(const proxy::stored_object& object) {
  objects_[object.name] = object;
}

void rollout_writer::Write(const rollout_order& order) {
  const auto [_, is_first] =
      pending_writes_.emplace(order.service, order.target_version, order.state);
  if (!is_first) return;
  net::co_spawn(options_.executor, WriteAfterRandomDelay(order), net::detached);
}

net::awaitable<void> rollout_writer::Pause(base::duration max_delay) {
  const double fraction = base::ToUnitInterval(options_.random());
  co_await Sleep(base::duration(static_cast<std::int64_t>(
      static_cast<double>(max_delay.count()) * fraction)));
}

net::awaitable<void> rollout_writer::Sleep(base::duration span) {
  net::steady_timer timer(options_.executor, span);
  boost::system::error_code ignored;
  co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

bool rollout_writer::IsSettled(const rollout_order& order) const {
  const auto known = objects_.find(order.service);
  if (known == objects_.end()) return true;  // The order was removed.
  const auto stored = options_.adapter->decode_rollout(known->second);
  if (!stored || !decisions::IsSameOrder(order, stored->order)) return true;
  if (!stored->has_state) return false;
  return stored->order.state != rollout_state::kRunning ||
         order.state == rollout_state::kRunning;
}

std::int64_t rollout_writer::NowMs() const {
  return std::chrono::duration_cast<milliseconds>(
             options_.clock().time_since_epoch())
      .count();
}

net::awaitable<void> rollout_writer::WriteAfterRandomDelay(
    rollout_order order) {
  const bool is_outcome = order.state != rollout_state::kRunning;
  co_await Pause(is_outcome ? kOutcomeWait : kRunningWait);
  if (!options_.reads_at_once()) {
    co_await Sleep(kLateReaderWait);
    co_await Pause(kLateReaderWait);
  }
  for (int attempts = 0; attempts < kMaxAttempts && !IsSettled(order);
       ++attempts) {
    proxy::stored_object object = objects_[order.service];
    const auto stored = options_.adapter->decode_rollout(object);
    const std::int64_t began_ms =
        stored && stored->began_ms != 0 ? stored->began_ms : NowMs();
    object.status = options_.adapter->encode_rollout_state(order, began_ms);
    const auto written = co_await options_.store->put_status(
        options_.adapter->names.rollout_kind, object);
    options_.log->Write(event_priority::kStateChange, "rollout_state_written",
                        {{"service", order.service},
                         {"state", config::DumpJson(object.status)},
                         {"result", base::NameOfResult(written)}});
    if (written) {
      OnObject(*written);
      break;
    }
    co_await Pause(kRetryWait);
    // Another proxy may have written the state, or this write may have taken
    // effect and its answer was lost.
    const auto current = co_await options_.store->get(
        options_.adapter->names.rollout_kind, order.service, false);
    if (current) OnObject(*current);
  }
  pending_writes_.erase({order.service, order.target_version, order.state});
}

}  // namespace fireflyspar::app
