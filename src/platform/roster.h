// Maintains the rosters: for each data centre the addresses of a few living
// nodes, stored at the platform for nodes that start without seeds. A roster
// may be out of date as long as it names one living node, because a node that
// joins through it learns the other members from it.
//
// At 2,000 nodes in 4 data centres, a roster lists 32 of 500 nodes and is
// written when a quarter of the listed nodes are gone. Of 610 node replacements
// a day, 152 are in one data centre, and 152 * 32 / 500, or 10, of these are
// listed in its roster, which makes 1 or 2 writes a day. When many nodes die at
// once, two writers in each data centre write at most every 10 s each: 4 * 2 /
// 10, or 0.8 writes a second for the fleet. A start without seeds costs one
// list call of about 4 rosters * 32 addresses * 22 bytes, or 2,800 bytes.
#ifndef FIREFLYSPAR_PLATFORM_ROSTER_H_
#define FIREFLYSPAR_PLATFORM_ROSTER_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/address.h"
#include "base/hooks.h"
#include "base/result.h"
#include "platform/object_api.h"
#include "platform/object_reconciler.h"

namespace fireflyspar::platform {

inline constexpr std::size_t kMaxRosterAddresses = 32;

struct roster {
  std::string data_centre;
  std::vector<base::address> addresses;

  bool operator==(const roster&) const = default;
};

std::string ToText(const roster& value);
base::result<roster> ParseRoster(std::string_view text);

// Returns the addresses that a roster should list, or nothing if `listed` need
// not change. It has to change when its living nodes are fewer than three
// quarters of the nodes that a roster could list now. Listed nodes that live
// are kept, and others are added at random until the roster is full.
std::optional<std::vector<base::address>> NextRoster(
    const std::vector<base::address>& listed, std::vector<base::address> living,
    const base::random_hook& random);

struct roster_options {
  std::string data_centre;
  base::random_hook random;
  std::function<bool()> is_assigned;
  // Returns the RPC addresses of this data centre's living nodes.
  std::function<std::vector<base::address>()> living;
};

// Describes a data centre's roster for an object_reconciler.
reconciled_object ReconciledRoster(const roster_options& options);

// Reads all rosters by one list call. Logs and leaves out malformed ones.
base::result<std::vector<roster>> ReadRosters(const object_api& api);

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_PLATFORM_ROSTER_H_
