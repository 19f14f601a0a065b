// Suspends requests that a queue holds until the queue decides on them, their
// deadline passes or their caller goes away.
#ifndef FIREFLYSPAR_PROXY_TURN_WAITERS_H_
#define FIREFLYSPAR_PROXY_TURN_WAITERS_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <span>

#include "backend_servers/http.h"
#include "decisions/ranked_admission.h"

namespace fireflyspar::proxy {

namespace net = boost::asio;

class turn_waiters {
 public:
  explicit turn_waiters(net::any_io_executor executor)
      : executor_(std::move(executor)) {}

  // Waits for the decision on the request with this ticket; returns nothing if
  // there was none before the deadline or the cancellation.
  net::awaitable<std::optional<decisions::admission_result>> Wait(
      std::uint64_t ticket, base::steady_instant deadline,
      backend_servers::cancellation& cancel);

  // Resumes the requests on which a queue has decided.
  void Notify(std::span<const decisions::queued_result> ended);

 private:
  struct waiter {
    explicit waiter(const net::any_io_executor& executor) : timer(executor) {}
    net::steady_timer timer;
    std::optional<decisions::admission_result> result;
  };

  net::any_io_executor executor_;
  std::map<std::uint64_t, waiter*> waiters_;  // By ticket.
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_TURN_WAITERS_H_
