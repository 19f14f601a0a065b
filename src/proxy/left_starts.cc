#include "proxy/left_starts.h"

#include <algorithm>

namespace fireflyspar::proxy {

void left_starts::Add(std::string_view server_id, std::int64_t start_ms) {
  const auto [known, _] = latest_.try_emplace(std::string(server_id), start_ms);
  known->second = std::max(known->second, start_ms);
}

bool left_starts::Contains(const decisions::server_info& start) const {
  const auto known = latest_.find(start.id);
  return known != latest_.end() && start.start_ms <= known->second;
}

}  // namespace fireflyspar::proxy
