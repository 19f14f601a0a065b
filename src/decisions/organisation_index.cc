#include "decisions/organisation_index.h"

#include <algorithm>

namespace fireflyspar::decisions {
namespace {

// Priorities beyond these are not told apart.
constexpr int kMaxRoutePriority = 9'999;
constexpr int kMaxOrganisationPriority = 99'999;

}  // namespace

organisation_index::organisation_index(
    std::span<const config::organisation> organisations) {
  for (const config::organisation& each : organisations) {
    for (const std::string& key : each.keys) {
      const auto [known, is_new] = by_key_.try_emplace(key, &each);
      const bool is_shared = !is_new && known->second != &each;
      if (is_shared) known->second = nullptr;
    }
  }
}

const config::organisation* organisation_index::Find(
    std::string_view key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second;
}

int CombinedPriority(int of_organisation, int of_route) {
  return std::min(of_organisation, kMaxOrganisationPriority) *
             (kMaxRoutePriority + 1) +
         std::min(of_route, kMaxRoutePriority);
}

}  // namespace fireflyspar::decisions
