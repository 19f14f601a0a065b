#include "decisions/server_directory.h"

#include <algorithm>
#include <limits>
#include <tuple>

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
  return found->second.entries;
}

std::span<const std::string> server_directory::Versions(
    std::string_view service) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) return {};
  return found->second.versions;
}

std::vector<std::string> server_directory::OrderVersions(
    std::span<const server_entry* const> serving) {
  struct version_use {
    std::string_view version;
    std::int64_t first_start_ms = std::numeric_limits<std::int64_t>::max();
    int servers = 0;
  };
  std::vector<version_use> uses;  // Of few versions.
  for (const server_entry* each : serving) {
    auto use =
        std::ranges::find(uses, each->server.version, &version_use::version);
    if (use == uses.end()) {
      use = uses.insert(use, {.version = each->server.version});
    }
    use->first_start_ms = std::min(use->first_start_ms, each->server.start_ms);
    ++use->servers;
  }
  std::ranges::sort(uses, {}, [](const version_use& use) {
    return std::tuple(use.first_start_ms, -use.servers, use.version);
  });
  std::vector<std::string> versions;
  std::ranges::transform(
      uses, std::back_inserter(versions),
      [](const version_use& use) { return std::string(use.version); });
  return versions;
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
    by_service_[entry.server.service].entries.push_back(&entry);
  }
  for (auto& [service, index] : by_service_) {
    index.versions = OrderVersions(index.entries);
  }
}

}  // namespace fireflyspar::decisions
