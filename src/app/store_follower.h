// Keeps what this process knows equal to what the platform's store holds: the
// configuration in force, the entries of the backend servers and the orders for
// rollouts. Each kind of object is listed and then watched. A document that
// can't be read, or a part of it, costs only itself.
//
// In a large fleet only a few processes wait for each change
// (decisions/store_readers.h). The others ask a peer whose answer shows that it
// holds more (proxy/shared_objects.h), and read the store cheaply and late.
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
#include "app/evacuation_follower.h"
#include "app/platform_adapter.h"
#include "app/rollout_writer.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "decisions/server_directory.h"
#include "proxy/object_watcher.h"
#include "proxy/rollouts.h"
#include "proxy/router.h"
#include "proxy/shared_object_puller.h"
#include "proxy/shared_objects.h"
#include "proxy/store_watchdog.h"
#include "proxy/supervision.h"

namespace fireflyspar::app {

struct store_follower_options {
  net::any_io_executor executor;
  const platform_adapter* adapter = nullptr;
  const proxy::object_store* store = nullptr;
  base::event_log* log = nullptr;
  base::metrics* metrics = nullptr;
  base::random_hook random;
  base::clock_hook clock;
  // Of this process.
  std::string instance;
  std::string data_centre;
  base::address gate;
  // Time within which a new configuration has to be in force.
  std::chrono::milliseconds configuration_limit{2000};
  // These learn what was read.
  decisions::server_directory* directory = nullptr;
  proxy::rollouts* rollout_states = nullptr;
  proxy::router* router = nullptr;
  rollout_writer* writer = nullptr;
  // Null in a deployment whose data centres are not evacuated.
  evacuation_follower* evacuations = nullptr;
  entry_publisher* publisher = nullptr;
  proxy::unexpected_error_hook on_error = [](std::string_view) {};
  // Called when the directory has changed.
  std::function<void()> on_directory_change = [] {};
  // Called with what the store holds of the server on this instance.
  std::function<void(const decisions::server_info&)> on_own_server =
      [](const auto&) {};
};

class store_follower {
 public:
  explicit store_follower(store_follower_options options);

  // Starts to follow the store, until the executor's context ends.
  void Start();

  // Must be called when the store was restored from a copy.
  void OnStoreRestored();

  // Must be called some times a second: reconsiders who reads the store.
  void Tick();

  // Notes what another process holds of the shared objects, and asks it for
  // them if it holds more than this one.
  void OnPeerHolds(const decisions::server_entry& peer,
                   const proxy::shared_revisions& held) {
    puller_.OnPeerHolds(peer.gate, held, Held());
  }

  // Returns whether the store serves this process, as far as it knows.
  bool IsInTouch() const { return watchdog_.IsAvailable(); }

  // Returns whether this process waits for each change at the store.
  bool ReadsAtOnce() const { return reading_ != reading::kLate; }

  proxy::shared_revisions Held() const { return shared_.Revisions(); }

  // Answers another process that asks for the objects of a kind.
  backend_servers::http_response AnswerPeer(proxy::shared_kind kind) const;

 private:
  // How this process reads the configuration and the rollout orders.
  enum class reading {
    kUndecided,  // Listed at once, then late, until the peers are known.
    kAtOnce,
    kLate,
  };

  proxy::object_watcher_options WatcherOptions(
      const std::string& kind,
      std::function<std::chrono::milliseconds()> coalesce_delay);
  proxy::object_watcher_options ConfigurationWatcherOptions();
  proxy::object_watcher_options RolloutWatcherOptions();
  proxy::object_watcher_options EntryWatcherOptions();
  proxy::object_watcher_options EvacuationWatcherOptions();
  proxy::store_watchdog_options WatchdogOptions();

  void Apply(proxy::shared_kind kind, const proxy::stored_object& object);
  std::chrono::milliseconds ConfigurationDelay() const;

  void OnConfiguration(const proxy::stored_object& object);
  void OnRollout(const proxy::stored_object& object);
  void OnPeerEvacuations(const proxy::stored_object& object);
  // Shows peers the evacuations that are known now.
  void ShareEvacuations();
  void OnEntries(const proxy::object_list& listed);
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
  // Elements of watchers_.
  proxy::object_watcher* configuration_watcher_ = nullptr;
  proxy::object_watcher* entry_watcher_ = nullptr;
  proxy::object_watcher* rollout_watcher_ = nullptr;
  proxy::object_watcher* evacuation_watcher_ = nullptr;  // May stay null.
  proxy::store_watchdog watchdog_;
  proxy::shared_objects shared_;
  proxy::shared_object_puller puller_;
  reading reading_ = reading::kUndecided;
  bool has_followers_ = false;  // Whether other processes read late.
  base::steady_instant started_;
  base::steady_instant next_decision_at_;
  // Until then, entries that the store lacks are kept.
  base::steady_instant keep_entries_until_;
  // Why the configuration that was rejected last was rejected.
  std::string last_rejection_;
};

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_STORE_FOLLOWER_H_
