// Writes the states of rollouts to the store. Many proxies reach the same state
// at about the same time. Each waits for a random delay first, so that usually
// only one writes and the others see its write. Writes are conditional on the
// revision that was read, so that the first outcome that is written is final.
#ifndef FIREFLYSPAR_APP_ROLLOUT_WRITER_H_
#define FIREFLYSPAR_APP_ROLLOUT_WRITER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>

#include "app/platform_adapter.h"
#include "base/event_log.h"
#include "base/hooks.h"

namespace fireflyspar::app {

struct rollout_writer_options {
  net::any_io_executor executor;
  const platform_adapter* adapter = nullptr;
  const proxy::object_store* store = nullptr;
  base::event_log* log = nullptr;
  base::random_hook random;
  base::clock_hook clock;
  // Returns whether this process reads rollouts as soon as they change. Other
  // processes learn late that a state was written, so they leave the write to
  // those for a while.
  std::function<bool()> reads_at_once = [] { return true; };
};

class rollout_writer {
 public:
  explicit rollout_writer(rollout_writer_options options)
      : options_(std::move(options)) {}

  // Notes a rollout order as it is in the store now.
  void OnObject(const proxy::stored_object& object);

  // Writes the order's state to the store after a random delay, with retries,
  // unless the store already has this state or an outcome, or the order was
  // removed or replaced.
  void Write(const decisions::rollout_order& order);

 private:
  net::awaitable<void> WriteAfterRandomDelay(decisions::rollout_order order);
  net::awaitable<void> Sleep(base::duration span);
  // Waits for a random time of at most `max_delay`.
  net::awaitable<void> Pause(base::duration max_delay);
  // Returns whether the order's state no longer has to be written.
  bool IsSettled(const decisions::rollout_order& order) const;
  std::int64_t NowMs() const;

  rollout_writer_options options_;
  std::map<std::string, proxy::stored_object> objects_;  // Keyed by service.
  // Service, target version and state of the writes in progress.
  std::set<std::tuple<std::string, std::string, decisions::rollout_state>>
      pending_writes_;
};

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_ROLLOUT_WRITER_H_
