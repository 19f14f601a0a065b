#include "config/organisation.h"

#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace fireflyspar::config {

std::vector<std::string> FindConflicts(
    std::span<const organisation> organisations) {
  std::vector<std::string> errors;
  std::unordered_set<std::string_view> names;
  std::unordered_map<std::string_view, std::string_view> owners;  // By key.
  for (const organisation& each : organisations) {
    if (!names.insert(each.name).second) {
      errors.push_back("organisation " + each.name + " stands twice");
    }
    for (const std::string& key : each.keys) {
      const auto [owner, is_new] = owners.try_emplace(key, each.name);
      if (is_new || owner->second == each.name) continue;
      errors.push_back("organisation " + each.name + " has a key of " +
                       std::string(owner->second) + ": it counts as unknown");
    }
  }
  return errors;
}

}  // namespace fireflyspar::config
