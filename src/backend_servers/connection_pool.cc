#include "backend_servers/connection_pool.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace fireflyspar::backend_servers {
namespace {

constexpr std::size_t kMaxIdlePerAddress = 32;

// Returns whether an idle connection can be used again: its peer has neither
// closed it nor sent unexpected bytes.
bool IsReusable(connection& idle) {
  char byte = 0;
  const int socket = idle.stream.socket().native_handle();
  const ssize_t bytes_read = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return bytes_read < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) &&
         idle.buffer.size() == 0;
}

}  // namespace

std::unique_ptr<connection> connection_pool::Acquire(
    const base::address& to, std::chrono::milliseconds max_idle,
    const std::function<bool(const connection&)>& accepts) {
  const auto found = idle_.find(to);
  if (found == idle_.end()) return nullptr;
  const auto now = std::chrono::steady_clock::now();
  std::vector<idle_connection>& held = found->second;
  // The last connection was added last; those before it have been idle for
  // longer.
  for (std::size_t left = held.size(); left > 0; --left) {
    const auto each = held.begin() + static_cast<std::ptrdiff_t>(left) - 1;
    if (now - each->since > max_idle) return nullptr;
    if (!accepts(*each->held)) continue;
    idle_connection taken = std::move(*each);
    held.erase(each);
    const bool within_max_idle = now - taken.since <= taken.max_idle;
    if (within_max_idle && IsReusable(*taken.held)) {
      return std::move(taken.held);
    }
  }
  if (held.empty()) idle_.erase(found);
  return nullptr;
}

void connection_pool::Release(const base::address& to,
                              std::unique_ptr<connection> idle,
                              std::chrono::milliseconds max_idle) {
  std::vector<idle_connection>& held = idle_[to];
  const auto now = std::chrono::steady_clock::now();
  std::erase_if(held, [now](const idle_connection& each) {
    return now - each.since > each.max_idle;
  });
  if (held.size() >= kMaxIdlePerAddress) return;
  held.push_back({.held = std::move(idle), .since = now, .max_idle = max_idle});
}

}  // namespace fireflyspar::backend_servers
