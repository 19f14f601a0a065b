// Which members can take a call of a service and version, looked up in place of
// read through: a router asks for each call, and a fleet has thousands of
// members of which a service has a few. Built once for each view of the fleet.
#ifndef FIREFLYSPAR_DECISIONS_SERVER_INDEX_H_
#define FIREFLYSPAR_DECISIONS_SERVER_INDEX_H_

#include <map>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "decisions/member.h"

namespace fireflyspar::decisions {

// True for a member whose backend server may be given new work.
bool TakesNewWork(const member_record& member);

class server_index {
 public:
  // `members` must stay as they are for the index's life.
  explicit server_index(std::span<const member_record> members);

  // The members whose backend server runs `version` of `service` and may be
  // given new work, in the order of the members.
  std::span<const member_record* const> Usable(std::string_view service,
                                               std::string_view version) const;

 private:
  using service_version = std::pair<std::string_view, std::string_view>;

  std::map<service_version, std::vector<const member_record*>> usable_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_SERVER_INDEX_H_
