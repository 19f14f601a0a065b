#include "decisions/server_directory.h"

#include <algorithm>

namespace fireflyspar::decisions {

bool server_directory::Put(const server_entry& entry) {
  const auto known = entries_.find(entry.instance);
  if (known != entries_.end() && known->second == entry) return false;
  entries_[entry.instance] = entry;
  Reindex();
  return true;
}

bool server_directory::Remove(std::string_view instance) {
  const auto known = entries_.find(instance);
  if (known == entries_.end()) return false;
  entries_.erase(known);
  Reindex();
  return true;
}

void server_directory::KeepOnly(std::span<const std::string> kept) {
  const auto gone = std::erase_if(entries_, [kept](const auto& each) {
    return std::ranges::find(kept, each.first) == kept.end();
  });
  if (gone > 0) Reindex();
}

std::span<const server_entry* const> server_directory::Serving(
    std::string_view service) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) return {};
  return found->second;
}

std::string server_directory::MainVersion(std::string_view service,
                                          std::string_view except) const {
  std::map<std::string_view, int> counts;
  for (const server_entry* each : Serving(service)) {
    if (each->server.version != except) ++counts[each->server.version];
  }
  const auto most_common = std::ranges::max_element(
      counts, {}, [](const auto& each) { return each.second; });
  return most_common == counts.end() ? std::string()
                                     : std::string(most_common->first);
}

void server_directory::Reindex() {
  by_service_.clear();
  std::map<base::address, std::int64_t> latest_start;
  for (const auto& [instance, entry] : entries_) {
    std::int64_t& start = latest_start[entry.gate];
    start = std::max(start, entry.server.start_ms);
  }
  for (const auto& [instance, entry] : entries_) {
    if (entry.server.condition != server_condition::kServing) continue;
    if (entry.server.start_ms < latest_start[entry.gate]) continue;
    by_service_[entry.server.service].push_back(&entry);
  }
}

}  // namespace fireflyspar::decisions
