// Where a call goes, as pure functions of the configuration in force and the
// moves: which route matches it, which version of the service gets it, and
// which instances have that version.
#ifndef FIREFLYSPAR_DECISIONS_ROUTING_H_
#define FIREFLYSPAR_DECISIONS_ROUTING_H_

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/preset.h"
#include "decisions/member.h"
#include "decisions/move.h"

namespace fireflyspar::decisions {

// The parts of a request that routes look at.
struct request_head {
  std::string_view method;
  std::string_view path;  // Without the query.
  // The value of a header, by its lower-case name; empty when it is missing.
  std::function<std::string_view(std::string_view name)> header;
};

// The first route that matches among those that a caller on the listener
// `listener` may see; null when there is none. A route that may not be seen is
// passed over as if it did not exist.
const config::route* MatchRoute(const config::preset& preset,
                                const request_head& head,
                                config::visibility listener);

// False for a path that a backend server may read as another one than the
// routes did: with "." or ".." segments, a backslash, or an encoded ".", "/" or
// "\".
bool IsPlainPath(std::string_view path);

// The service of that name; null when there is none.
const config::service* FindService(const config::preset& preset,
                                   std::string_view name);

// The share of the old version's calls, in [0, 1], that go to the new one.
using moved_share_hook = std::function<double(const move&)>;

// The version that a call with the draw `unit`, in [0, 1), goes to. The
// preset's shares come first; each move then shifts its part of what its old
// version has, in the order of `moves`, so that v1 -> v2 -> v3 chains.
//
// For example, shares v1 = 100 and a move v1 -> v2 at 0.25: v1 has 0.75 and v2
// has 0.25, so 0.8 goes to v2.
std::string ChooseVersion(const config::service& service,
                          std::span<const move> moves,
                          const moved_share_hook& moved_share, double unit);

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_ROUTING_H_
