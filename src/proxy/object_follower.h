// Follows the objects of one kind: lists them, then watches for what changes,
// and lists again when the store has forgotten the changes in between. While
// the store can't be reached, what was learnt last stays.
//
// A watch tells of each change with a whole copy of the object. Where only the
// newest state of one long object matters, changes that come in quick
// succession are therefore not watched: the object is read now and then until
// it rests.
#ifndef FIREFLYSPAR_PROXY_OBJECT_FOLLOWER_H_
#define FIREFLYSPAR_PROXY_OBJECT_FOLLOWER_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <span>
#include <string>

#include "base/event_log.h"
#include "base/hooks.h"
#include "proxy/object_store.h"

namespace fireflyspar::proxy {

struct object_follower_options {
  net::any_io_executor executor;
  std::string kind;
  const object_store* store = nullptr;
  base::event_log* log = nullptr;
  base::random_hook random;
  // A pause after each change, in which further ones gather into one answer.
  std::chrono::milliseconds gather{200};
  // Whether it is enough to hear of changes some seconds late.
  bool may_be_late = false;
  // Set where only the newest state of the object with this name matters.
  std::string only_newest_of;
  // All objects of the kind as they are now.
  std::function<void(std::span<const stored_object>)> on_list;
  std::function<void(const object_change&)> on_change;
};

class object_follower {
 public:
  explicit object_follower(object_follower_options options)
      : options_(std::move(options)), pause_(options_.executor) {}

  // Runs until the executor's context ends.
  net::awaitable<void> Run();

  // Breaks off what is waited for and waits for Restart.
  void Suspend();

  // Begins anew with a list.
  void Restart();

 private:
  net::awaitable<bool> List();
  net::awaitable<bool> Watch();
  net::awaitable<bool> ReadUntilItRests();
  net::awaitable<void> Pause(base::duration span);
  base::duration RetryPause(const base::failure& failure);

  object_follower_options options_;
  net::steady_timer pause_;
  std::shared_ptr<backend_servers::cancellation> watch_;
  std::uint64_t revision_ = 0;
  bool is_suspended_ = false;
  int failures_in_row_ = 0;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_OBJECT_FOLLOWER_H_
