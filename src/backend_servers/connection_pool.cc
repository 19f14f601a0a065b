#include "backend_servers/connection_pool.h"

#include <sys/socket.h>

#include <cerrno>

namespace fireflyspar::backend_servers {
namespace {

// Shorter than servers keep an idle connection, so that few are found closed.
constexpr std::chrono::seconds kMaxIdle{4};
constexpr std::size_t kMaxIdlePerAddress = 32;

// True when nothing has come on the idle connection. Both an end and unasked
// bytes make it useless.
bool IsQuiet(connection& idle) {
  char byte = 0;
  const int socket = idle.stream.socket().native_handle();
  const ssize_t got = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) &&
         idle.buffer.size() == 0;
}

}  // namespace

std::unique_ptr<connection> connection_pool::Take(const base::address& to) {
  const auto found = idle_.find(to);
  if (found == idle_.end()) return nullptr;
  const auto now = std::chrono::steady_clock::now();
  std::vector<idle_connection>& held = found->second;
  while (!held.empty()) {
    idle_connection last = std::move(held.back());
    held.pop_back();
    if (now - last.since > kMaxIdle) {
      // Those below it have been idle for longer still.
      held.clear();
    } else if (IsQuiet(*last.held)) {
      return std::move(last.held);
    }
  }
  idle_.erase(found);
  return nullptr;
}

void connection_pool::Give(const base::address& to,
                           std::unique_ptr<connection> idle) {
  std::vector<idle_connection>& held = idle_[to];
  if (held.size() >= kMaxIdlePerAddress) return;
  held.push_back(
      {.held = std::move(idle), .since = std::chrono::steady_clock::now()});
}

}  // namespace fireflyspar::backend_servers
