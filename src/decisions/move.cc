#include "decisions/move.h"

#include <algorithm>
#include <utility>

namespace fireflyspar::decisions {

move Merge(const move& left, const move& right) {
  // Equal states may carry different evidence, when two judges spoke at once.
  // The lesser text is taken so that every node ends with the same one.
  if (left.state != right.state) {
    return left.state > right.state ? left : right;
  }
  return left.evidence <= right.evidence ? left : right;
}

}  // namespace fireflyspar::decisions
