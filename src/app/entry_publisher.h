// Keeps this instance's entry in the store equal to the desired entry: writes
// it when the desired entry changes, and again when another process has removed
// or replaced it. After a write whose answer was lost, it reads the entry to
// find out whether the write took effect.
//
// The entry is also what the next process on this instance knows of the server:
// whether it has said that it leaves. So it is read before anything is written,
// and stays until that server has ended.
#ifndef FIREFLYSPAR_APP_ENTRY_PUBLISHER_H_
#define FIREFLYSPAR_APP_ENTRY_PUBLISHER_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "base/event_log.h"
#include "base/hooks.h"
#include "decisions/server_directory.h"
#include "proxy/object_store.h"

namespace fireflyspar::app {

namespace net = boost::asio;

struct entry_publisher_options {
  net::any_io_executor executor;
  const proxy::object_store* store = nullptr;
  base::event_log* log = nullptr;
  base::random_hook random;
  std::string kind;
  std::string instance;
  // Called once, with the entry that the process before this one has left;
  // nothing if there is none.
  std::function<void(const std::optional<proxy::stored_object>&)>
      on_first_read = [](const auto&) {};
  // Returns whether the server on this instance has ended.
  std::function<net::awaitable<bool>()> has_server_ended =
      []() -> net::awaitable<bool> { co_return true; };
};

class entry_publisher {
 public:
  explicit entry_publisher(entry_publisher_options options)
      : options_(std::move(options)), wake_timer_(options_.executor) {}

  // Sets the desired entry; Run() writes it to the store.
  void SetDesired(const decisions::server_entry& desired);

  // Notes the entry as it was read from the store. Reads may be late: what is
  // older than the latest known state has no effect.
  void OnStored(const proxy::stored_object& stored);

  // Notes that the store had no entry at this revision.
  void OnMissing(const base::store_revision& revision);

  // Retries a failed write at once instead of after its delay.
  void Retry() { wake_timer_.cancel(); }

  // Reads the entry, and then writes it whenever the store's differs from the
  // desired one, until the executor's context ends.
  net::awaitable<void> Run();

  // Returns whether the store is known to hold what is desired.
  bool IsSettled() const { return has_read_ && !NeedsWrite(); }

  // Waits until that is so, at most for `limit`.
  net::awaitable<void> Settle(base::duration limit) const;

  // Removes the entry, for a server that will not return, once that has ended.
  // Does not retry the removal.
  net::awaitable<void> Withdraw();

 private:
  net::awaitable<void> ReadFirst();
  // Returns whether the entry in the store has to be written.
  bool NeedsWrite() const;
  net::awaitable<void> Wait(base::duration span);
  // Writes the entry once; returns false when that has to be tried again.
  net::awaitable<bool> Write();

  entry_publisher_options options_;
  net::steady_timer wake_timer_;
  std::optional<nlohmann::json> desired_;
  proxy::stored_object stored_;
  bool has_read_ = false;
  bool is_withdrawn_ = false;
};

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_ENTRY_PUBLISHER_H_
