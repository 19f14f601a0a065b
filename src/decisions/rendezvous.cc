#include "decisions/rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <utility>

#include "base/hash.h"

namespace fireflyspar::decisions {

std::vector<std::string> ChooseByRendezvous(
    std::string_view job, std::span<const std::string> node_ids,
    std::size_t count) {
  using scored = std::pair<std::uint64_t, std::string>;
  std::vector<scored> ranking;
  ranking.reserve(node_ids.size());
  std::ranges::transform(
      node_ids, std::back_inserter(ranking), [&](const std::string& id) {
        return scored(base::FastHash(std::string(job) + '\n' + id), id);
      });
  std::ranges::sort(ranking, std::greater<>());
  ranking.resize(std::min(count, ranking.size()));

  std::vector<std::string> chosen;
  chosen.reserve(ranking.size());
  std::ranges::transform(ranking, std::back_inserter(chosen),
                         [](const scored& entry) { return entry.second; });
  return chosen;
}

}  // namespace fireflyspar::decisions
