// Ends a proxy process between SIGTERM and SIGKILL so that every request that
// it has read gets an answer. The phases, from SIGTERM on:
//
// 1. The readiness check fails, but requests are still served, until whatever
//    sends them here has noticed. Connections are closed after their next
//    answers. A request that can't have run before the end is refused as soon
//    as that is known, wherever it waits.
// 2. New requests are refused, and those in progress end.
// 3. Shortly before SIGKILL the requests that are left are answered without
//    their outcome, and these answers are written out.
#ifndef FIREFLYSPAR_APP_GRACEFUL_SHUTDOWN_H_
#define FIREFLYSPAR_APP_GRACEFUL_SHUTDOWN_H_

#include <functional>
#include <memory>
#include <span>

#include "base/event_log.h"
#include "base/hooks.h"
#include "proxy/gate.h"
#include "proxy/listener.h"
#include "proxy/router.h"

namespace fireflyspar::app {

namespace net = boost::asio;

struct graceful_shutdown_options {
  net::any_io_executor executor;
  base::event_log* log = nullptr;
  base::duration limit{};  // From SIGTERM to SIGKILL.
  proxy::router* router = nullptr;
  proxy::gate* gate = nullptr;
  proxy::listener* caller_listener = nullptr;
  std::span<const std::unique_ptr<proxy::listener>> listeners;  // All of them.
  // Takes this instance out of use, if its server leaves as well. Nothing waits
  // for it, since the store may not answer.
  std::function<net::awaitable<void>()> withdraw;
  // Returns whether the store holds what the next process has to know of the
  // server. Until then the process stays within its limit.
  std::function<bool()> is_entry_settled = [] { return true; };
};

class graceful_shutdown {
 public:
  explicit graceful_shutdown(graceful_shutdown_options options)
      : options_(std::move(options)) {}

  // Returns when the process can end. Must be called when SIGTERM arrives.
  net::awaitable<void> Run();

 private:
  using steady_instant = base::steady_instant;

  void Begin(steady_instant last_answer);
  net::awaitable<void> ServeUntil(steady_instant end);
  // Waits until no request is in progress, at most until `end`.
  net::awaitable<void> Finish(steady_instant end);
  // Answers the requests that are left.
  net::awaitable<void> AnswerTheRest(steady_instant end);
  net::awaitable<void> Pause(base::duration span);
  bool IsBusy() const;
  // Returns whether the next process can't know yet that the server leaves.
  bool HasUnsettledLeave() const;
  int ActiveCallers() const {
    return options_.caller_listener->ActiveRequests();
  }

  graceful_shutdown_options options_;
};

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_GRACEFUL_SHUTDOWN_H_
