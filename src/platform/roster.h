// Rosters: for each data centre a few addresses of living nodes, kept at the
// platform for nodes that start without seeds. A roster need not be right, only
// to name some node that lives; whoever is joined tells the rest.
//
// At 2,000 nodes in 4 data centres: a roster of 32 of 500 nodes is written when
// a quarter of it is gone. Of 610 replacements a day 152 fall to a data centre
// and 152 * 32 / 500, or 10, hit its roster, which makes 1 or 2 writes a day.
// When a herd dies, two keepers write at most every 10 s each: 4 * 2 / 10, or
// 0.8 writes a second for the fleet. A start without seeds is one list call of
// about 4 * 32 * 22, or 2,800 bytes.
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
#include "platform/object_keeper.h"

namespace fireflyspar::platform {

inline constexpr std::size_t kMaxRosterAddresses = 32;

struct roster {
  std::string data_centre;
  std::vector<base::address> addresses;

  bool operator==(const roster&) const = default;
};

std::string ToText(const roster& value);
base::result<roster> ParseRoster(std::string_view text);

// The addresses that a roster should list, or nothing when `listed` still
// serves: fewer than three quarters of what it could list are living nodes.
// Living nodes that are listed stay; others fill it up at random.
std::optional<std::vector<base::address>> NextRoster(
    const std::vector<base::address>& listed, std::vector<base::address> living,
    const base::random_hook& random);

struct roster_options {
  std::string data_centre;
  base::random_hook random;
  std::function<bool()> has_job;
  // RPC addresses of this data centre's living nodes.
  std::function<std::vector<base::address>()> living;
};

// The roster of a data centre, to be kept by an object_keeper.
kept_object KeptRoster(const roster_options& options);

// Every data centre's roster, by one list call; a malformed one is left out.
base::result<std::vector<roster>> ReadRosters(const object_api& api);

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_PLATFORM_ROSTER_H_
