// Keeps what this process knows equal to what the platform's store holds: the
// configuration in force, the entries of the backend servers and the orders for
// rollouts. Each kind of object is listed and then watched. A document that
// can't be read, or a part of it, costs only itself.
//
// While the store is unavailable, the process goes on with what it knows. When
// the store was restored from an older copy, everything is listed anew: a
// configuration that is older than the one in force is not adopted, and entries
// that the copy lacks are kept until their processes have written them again.
#ifndef FIREFLYSPAR_APP_STORE_FOLLOWER_H_
#define FIREFLYSPAR_APP_STORE_FOLLOWER_H_

#include <memory>
#include <span>
#include <string>
#include <vector>

#include "app/entry_publisher.h"
#include "app/platform_adapter.h"
#include "app/rollout_writer.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "decisions/server_directory.h"
#include "proxy/object_watcher.h"
#include "proxy/rollouts.h"
#include "proxy/router.h"
#include "proxy/store_watchdog.h"

namespace fireflyspar::app {

struct store_follower_options {
  net::any_io_executor executor;
  const platform_adapter* adapter = nullptr;
  const proxy::object_store* store = nullptr;
  base::event_log* log = nullptr;
  base::metrics* metrics = nullptr;
  base::random_hook random;
  base::clock_hook clock;
  std::string instance;  // Of this process.
  base::address gate;    // Of this process.
  // Time within which a new configuration has to be in force.
  std::chrono::milliseconds configuration_limit{2000};
  // These learn what was read.
  decisions::server_directory* directory = nullptr;
  proxy::rollouts* rollout_states = nullptr;
  proxy::router* router = nullptr;
  rollout_writer* writer = nullptr;
  entry_publisher* publisher = nullptr;
};

class store_follower {
 public:
  explicit store_follower(store_follower_options options);

  // Starts to follow the store, until the executor's context ends.
  void Start();

  // Must be called when the store was restored from a copy.
  void OnStoreRestored();

 private:
  proxy::object_watcher_options WatcherOptions(
      const std::string& kind, std::chrono::milliseconds coalesce_delay);
  proxy::object_watcher_options ConfigurationWatcherOptions();
  proxy::object_watcher_options RolloutWatcherOptions();
  proxy::object_watcher_options EntryWatcherOptions();
  proxy::store_watchdog_options WatchdogOptions();

  void OnConfiguration(const proxy::stored_object& object);
  void OnRollout(const proxy::stored_object& object);
  void OnEntries(std::span<const proxy::stored_object> objects);
  void OnEntry(const proxy::object_change& change);
  bool PutEntry(const proxy::stored_object& object);
  net::awaitable<void> RemoveEntry(proxy::stored_object object);
  net::awaitable<void> ListEntriesAfterGrace();

  void Reject(std::string_view event, const proxy::stored_object& object,
              const std::string& detail);
  void ReportErrors(std::span<const std::string> errors);
  void CountUnreadable(std::string_view kind, std::size_t count);

  store_follower_options options_;
  std::vector<std::unique_ptr<proxy::object_watcher>> watchers_;
  proxy::object_watcher* entry_watcher_ = nullptr;
  proxy::store_watchdog watchdog_;
  // Until then, entries that the store lacks are kept.
  base::steady_instant keep_entries_until_;
  // Why the configuration that was rejected last was rejected.
  std::string last_rejection_;
};

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_STORE_FOLLOWER_H_
