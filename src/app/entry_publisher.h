// Keeps this instance's entry in the store as it should be: writes it when it
// changes, and again when somebody else removed or replaced it. A write whose
// answer was lost is settled by reading the entry again.
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
      : options_(std::move(options)), changed_(options_.executor) {}

  // What the store is to say from now on.
  void Set(const decisions::server_entry& wanted);

  // What the store says; nothing when the entry does not exist.
  void OnStored(const std::optional<proxy::stored_object>& stored);

  // Tries at once what could not be written so far.
  void Retry() { changed_.cancel(); }

  net::awaitable<void> Run();

  // Takes the entry away, for a server that is gone for good. Tried once.
  net::awaitable<void> Withdraw();

 private:
  bool IsDue() const;
  net::awaitable<void> Wait(base::duration span);
  net::awaitable<bool> Write();

  entry_publisher_options options_;
  net::steady_timer changed_;
  std::optional<nlohmann::json> wanted_;
  proxy::stored_object stored_;
  bool is_withdrawn_ = false;
};

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_ENTRY_PUBLISHER_H_
