#include "proxy/store_watchdog.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace fireflyspar::proxy {
namespace {

// Consecutive failed probes before the store counts as unavailable: one lost
// response does not mean an outage.
constexpr int kFailuresUntilLost = 2;

}  // namespace

net::awaitable<void> store_watchdog::Run() {
  net::steady_timer timer(options_.executor);
  for (;;) {
    const bool is_healthy = consecutive_failures_ == 0;
    const auto interval =
        is_healthy ? options_.interval() : options_.retry_interval;
    const auto timeout = is_healthy ? options_.timeout : options_.retry_timeout;
    // Waits for 0.5 to 1.5 intervals at random, so that processes that started
    // together don't probe at the same time.
    const double factor = 0.5 + base::ToUnitInterval(options_.random());
    timer.expires_after(base::duration(static_cast<std::int64_t>(
        static_cast<double>(base::duration(interval).count()) * factor)));
    boost::system::error_code ignored;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
    const auto answer = co_await options_.store->probe(timeout);
    OnAnswer(answer);
  }
}

void store_watchdog::OnAnswer(const base::result<base::success>& answer) {
  if (answer) {
    consecutive_failures_ = 0;
    if (is_available_) return;
    is_available_ = true;
    options_.log->Write(base::event_priority::kStateChange, "store_regained",
                        {});
    options_.on_regained();
    return;
  }
  ++consecutive_failures_;
  if (!is_available_ || consecutive_failures_ < kFailuresUntilLost) return;
  is_available_ = false;
  const base::failure& failure = answer.Failure();
  options_.log->Write(
      base::event_priority::kStateChange, "store_lost",
      {{"reason", std::string(base::ErrorInfoFor(failure.Kind()).name)},
       {"detail", failure.detail}});
  options_.on_lost();
}

}  // namespace fireflyspar::proxy
