#include "proxy/turn_waiters.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace fireflyspar::proxy {

using decisions::admission_result;

net::awaitable<std::optional<admission_result>> turn_waiters::Wait(
    std::uint64_t ticket, base::steady_instant deadline,
    backend_servers::cancellation& cancel) {
  waiter waiting(executor_);
  waiters_[ticket] = &waiting;
  waiting.timer.expires_at(deadline);
  cancel.OnCancel([&waiting] { waiting.timer.cancel(); });
  boost::system::error_code ignored;
  if (!cancel.IsCancelled()) {
    co_await waiting.timer.async_wait(
        net::redirect_error(net::use_awaitable, ignored));
  }
  cancel.OnCancel(nullptr);
  waiters_.erase(ticket);
  co_return waiting.result;
}

void turn_waiters::Notify(std::span<const decisions::queued_result> ended) {
  for (const decisions::queued_result& each : ended) {
    const auto found = waiters_.find(each.ticket);
    if (found == waiters_.end()) continue;
    found->second->result = each.result;
    found->second->timer.cancel();
  }
}

}  // namespace fireflyspar::proxy
