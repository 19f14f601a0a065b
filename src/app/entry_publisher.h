// Keeps this instance's entry in the store equal to the desired entry: writes
// it when the desired entry changes, and again when another process has removed
// or replaced it. After a write whose answer was lost, it reads the entry to
// find out whether the write took effect.
#ifndef FIREFLYSPAR_APP_ENTRY_PUBLISHER_H_
#define FIREFLYSPAR_APP_ENTRY_PUBLISHER_H_

#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <string>

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

  // Writes the entry whenever the store's differs from the desired one, until
  // the executor's context ends.
  net::awaitable<void> Run();

  // Removes the entry, for a server that will not return. Does not retry.
  net::awaitable<void> Withdraw();

 private:
  // Returns whether the entry in the store has to be written.
  bool NeedsWrite() const;
  net::awaitable<void> Wait(base::duration span);
  // Writes the entry once; returns false when that has to be tried again.
  net::awaitable<bool> Write();

  entry_publisher_options options_;
  net::steady_timer wake_timer_;
  std::optional<nlohmann::json> desired_;
  proxy::stored_object stored_;
  bool is_withdrawn_ = false;
};

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_ENTRY_PUBLISHER_H_
