#include "decisions/gossip.h"

namespace fireflyspar::decisions {

std::string_view KindOf(const gossip& message) {
  if (!message.listed_buckets.empty()) return "compare";
  if (message.root_hash != 0) return "exchange";
  return "push";
}

}  // namespace fireflyspar::decisions
