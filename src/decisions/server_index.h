// Index of the members that can take a call, by service and version. A router
// needs them for each call, and a fleet has thousands of members of which only
// a few belong to a service, so that scanning the list would cost too much. The
// index is built once for each view of the fleet (fleet_view.h).
#ifndef FIREFLYSPAR_DECISIONS_SERVER_INDEX_H_
#define FIREFLYSPAR_DECISIONS_SERVER_INDEX_H_

#include <map>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "decisions/member.h"

namespace fireflyspar::decisions {

// Returns whether new calls may be sent to the member's backend server.
bool TakesNewWork(const member_record& member);

class server_index {
 public:
  // `members` must outlive the index and must not change.
  explicit server_index(std::span<const member_record> members);

  // Returns the members whose backend server runs `version` of `service` and
  // takes new calls, in the order of `members`.
  std::span<const member_record* const> Usable(std::string_view service,
                                               std::string_view version) const;

 private:
  using service_version = std::pair<std::string_view, std::string_view>;

  std::map<service_version, std::vector<const member_record*>> usable_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_SERVER_INDEX_H_
