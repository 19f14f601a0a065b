#include "decisions/member.h"

#include <tuple>

namespace fireflyspar::decisions {

bool Supersedes(const member_record& candidate, const member_record& current) {
  return std::tie(candidate.incarnation, candidate.sequence, candidate.state) >
         std::tie(current.incarnation, current.sequence, current.state);
}

}  // namespace fireflyspar::decisions
