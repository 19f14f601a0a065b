// Detects whether the store serves this process. A watch that returns nothing
// does not show whether nothing has changed or the store no longer responds. A
// watch that was started before an outage may never return after it. The
// watchdog therefore probes the store with its cheapest call. While the store
// is unavailable, the process makes no other calls to it; when it is available
// again, all object watchers start over.
#ifndef FIREFLYSPAR_PROXY_STORE_WATCHDOG_H_
#define FIREFLYSPAR_PROXY_STORE_WATCHDOG_H_

#include <functional>

#include "base/event_log.h"
#include "proxy/object_store.h"

namespace fireflyspar::proxy {

struct store_watchdog_options {
  net::any_io_executor executor;
  const object_store* store = nullptr;
  base::event_log* log = nullptr;
  base::random_hook random;
  // Returns the mean wait before a probe, and the probe's timeout; used unless
  // the last probe failed.
  std::function<std::chrono::milliseconds()> interval = [] {
    return std::chrono::milliseconds(1000);
  };
  std::chrono::milliseconds timeout{1000};
  // Mean wait before a probe and the probe's timeout, used if the last probe
  // failed.
  std::chrono::milliseconds retry_interval{300};
  std::chrono::milliseconds retry_timeout{600};
  std::function<void()> on_lost;
  std::function<void()> on_regained;
};

class store_watchdog {
 public:
  explicit store_watchdog(store_watchdog_options options)
      : options_(std::move(options)) {}

  net::awaitable<void> Run();

  bool IsAvailable() const { return is_available_; }

 private:
  void OnAnswer(const base::result<base::success>& answer);

  store_watchdog_options options_;
  bool is_available_ = true;
  int consecutive_failures_ = 0;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_STORE_WATCHDOG_H_
