#include "decisions/store_readers.h"

#include <algorithm>
#include <cstdint>

#include "base/hash.h"

namespace fireflyspar::decisions {
namespace {

std::uint64_t Rank(const std::string& instance) {
  return base::FastHash("store reader\n" + instance);
}

}  // namespace

bool IsStoreReader(const std::string& instance,
                   std::span<const std::string> peers,
                   const store_readers_options& options) {
  const std::uint64_t own_rank = Rank(instance);
  const auto ahead = std::ranges::count_if(peers, [&](const std::string& peer) {
    return peer != instance && Rank(peer) > own_rank;
  });
  return static_cast<std::size_t>(ahead) < options.readers_per_data_centre;
}

}  // namespace fireflyspar::decisions
