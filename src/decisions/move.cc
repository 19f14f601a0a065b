#include "decisions/move.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace fireflyspar::decisions {
namespace {

// Returns whether the outcome of `left` takes precedence over that of `right`.
bool Outranks(const move& left, const move& right) {
  const auto left_rank = std::tie(left.is_final, left.state);
  const auto right_rank = std::tie(right.is_final, right.state);
  if (left_rank != right_rank) return left_rank > right_rank;
  // Equal states can carry different evidence if two evaluators decided at the
  // same time. The lexicographically smaller text wins, so that all nodes
  // converge on the same one.
  return left.evidence < right.evidence;
}

}  // namespace

move Merge(const move& left, const move& right) {
  move merged = Outranks(left, right) ? left : right;
  std::vector<std::string> ready;
  std::ranges::set_union(left.ready_data_centres, right.ready_data_centres,
                         std::back_inserter(ready));
  merged.ready_data_centres = std::move(ready);
  merged.proven_percent = std::max(left.proven_percent, right.proven_percent);
  merged.share_capped_until =
      std::max(left.share_capped_until, right.share_capped_until);
  return merged;
}

}  // namespace fireflyspar::decisions
