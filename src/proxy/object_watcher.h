// Keeps the process up to date on the store's objects of one kind: lists them,
// then watches for changes, and lists them again when the store no longer has
// the history since the last known revision. While the store can't be reached,
// the last known state is kept.
//
// A watch returns a whole copy of the object for each change. If only the
// newest state of one large object matters, several changes in quick succession
// are therefore not watched one by one: the object is polled until it no longer
// changes.
#ifndef FIREFLYSPAR_PROXY_OBJECT_WATCHER_H_
#define FIREFLYSPAR_PROXY_OBJECT_WATCHER_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

#include "base/event_log.h"
#include "base/hooks.h"
#include "proxy/object_store.h"

namespace fireflyspar::proxy {

struct object_watcher_options {
  net::any_io_executor executor;
  std::string kind;
  const object_store* store = nullptr;
  base::event_log* log = nullptr;
  base::random_hook random;
  // Returns the pause after a change, so that further changes come in one
  // response.
  std::function<std::chrono::milliseconds()> coalesce_delay;
  // Return whether a list, and a change, may now be some seconds late, which is
  // cheaper.
  std::function<bool()> may_list_late = [] { return false; };
  std::function<bool()> may_watch_late = [] { return false; };
  // Name of an object of which only the newest state matters; empty if all
  // changes matter.
  std::string latest_only_object;
  // Called with all objects of the kind after each list.
  std::function<void(const object_list&)> on_list;
  std::function<void(const object_change&)> on_change;
  // Called after the changes that one response told, with the store's revision
  // at which they were all there were.
  std::function<void(const base::store_revision&)> on_watched =
      [](const auto&) {};
};

class object_watcher {
 public:
  explicit object_watcher(object_watcher_options options)
      : options_(std::move(options)), pause_(options_.executor) {}

  // Runs until the executor's context ends.
  net::awaitable<void> Run();

  // Cancels the watch in progress and makes no further calls until Restart.
  void Suspend();

  // Starts over with a list.
  void Restart();

  // Begins the watch in progress anew from the same revision, since
  // may_watch_late returns another value now.
  void Rewatch();

 private:
  net::awaitable<bool> List();
  net::awaitable<bool> Watch();
  net::awaitable<bool> PollUntilUnchanged();
  net::awaitable<void> Pause(base::duration span);
  base::duration RetryPause(const base::failure& failure);

  object_watcher_options options_;
  net::steady_timer pause_;
  std::shared_ptr<backend_servers::cancellation> watch_;
  base::store_revision revision_;
  bool is_suspended_ = false;
  bool is_rewatching_ = false;
  bool is_history_gone_ = false;  // Since the revision listed or watched last.
  int consecutive_failures_ = 0;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_OBJECT_WATCHER_H_
