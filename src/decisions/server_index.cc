#include "decisions/server_index.h"

#include "decisions/membership.h"

namespace fireflyspar::decisions {

bool TakesNewWork(const member_record& member) {
  const bool is_open = member.server.state == server_state::kServing ||
                       member.server.state == server_state::kStarting;
  return IsLiving(member) && is_open;
}

server_index::server_index(std::span<const member_record> members) {
  for (const member_record& member : members) {
    if (!TakesNewWork(member)) continue;
    usable_[{member.server.service, member.server.version}].push_back(&member);
  }
}

std::span<const member_record* const> server_index::Usable(
    std::string_view service, std::string_view version) const {
  const auto found = usable_.find({service, version});
  if (found == usable_.end()) return {};
  return found->second;
}

}  // namespace fireflyspar::decisions
