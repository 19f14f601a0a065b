// The idle keep-alive connections of one worker thread, by their peer's
// address. A connection whose last exchange did not end cleanly is never put
// back into the pool.
#ifndef FIREFLYSPAR_BACKEND_SERVERS_CONNECTION_POOL_H_
#define FIREFLYSPAR_BACKEND_SERVERS_CONNECTION_POOL_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "backend_servers/answer_memory.h"
#include "backend_servers/http.h"

namespace fireflyspar::backend_servers {

class connection_pool {
 public:
  // Shorter than the time for which servers keep an idle connection, so that
  // few pooled connections turn out to be closed.
  static constexpr std::chrono::milliseconds kMaxIdle{4000};

  explicit connection_pool(net::any_io_executor executor,
                           const answer_memory_options& answers = {})
      : executor_(std::move(executor)), answers_(answers) {}

  // Returns a connection that has been idle for at most `max_idle`, that its
  // peer has not closed and for which `accepts` holds; or null.
  std::unique_ptr<connection> Acquire(
      const base::address& to, std::chrono::milliseconds max_idle,
      const std::function<bool(const connection&)>& accepts);

  // Puts an idle connection into the pool, where it stays usable for
  // `max_idle`.
  void Release(const base::address& to, std::unique_ptr<connection> idle,
               std::chrono::milliseconds max_idle = kMaxIdle);

  // Closes the idle connections to the address.
  void CloseIdle(const base::address& to) { idle_.erase(to); }

  const net::any_io_executor& Executor() const { return executor_; }

  // Returns the memory for the answers that are read from these connections.
  const answer_memory& Answers() const { return answers_; }

 private:
  struct idle_connection {
    std::unique_ptr<connection> held;
    std::chrono::steady_clock::time_point since;
    std::chrono::milliseconds max_idle;
  };

  net::any_io_executor executor_;
  answer_memory answers_;
  std::map<base::address, std::vector<idle_connection>> idle_;
};

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_CONNECTION_POOL_H_
