// Asks peers for the shared objects of which they hold more than this process,
// one peer at a time for each kind. After a failure the next answer of any peer
// names another one to ask.
#ifndef FIREFLYSPAR_PROXY_SHARED_OBJECT_PULLER_H_
#define FIREFLYSPAR_PROXY_SHARED_OBJECT_PULLER_H_

#include <array>
#include <functional>

#include "backend_servers/connection_pool.h"
#include "base/event_log.h"
#include "proxy/shared_objects.h"

namespace fireflyspar::proxy {

struct shared_object_puller_options {
  net::any_io_executor executor;
  base::event_log* log = nullptr;
  // Called with each object that a peer returned.
  std::function<void(shared_kind kind, const stored_object& object)> on_object;
};

// A peer's answer holds all objects of a kind; few are asked for at once.
inline constexpr backend_servers::answer_memory_options kPulledObjects{
    .max_bytes = 9'437'184};

class shared_object_puller {
 public:
  explicit shared_object_puller(shared_object_puller_options options)
      : options_(std::move(options)),
        peers_(options_.executor, kPulledObjects) {}

  // Notes what the process with this gate holds, and asks it for the kinds of
  // which it holds more than `own`.
  void OnPeerHolds(const base::address& peer, const shared_revisions& held,
                   const shared_revisions& own);

 private:
  net::awaitable<void> Pull(shared_kind kind, base::address from);
  // Asks once; applies the objects of a good answer.
  net::awaitable<base::status> Ask(shared_kind kind, base::address from);

  shared_object_puller_options options_;
  backend_servers::connection_pool peers_;
  std::array<bool, kSharedKinds.size()> is_pulling_{};
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_SHARED_OBJECT_PULLER_H_
