// Pure functions that route a call by the configuration in force and the
// running moves: they find the route that matches it and choose the version of
// the service that gets it. server_index.h finds the instances of that version.
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

// The parts of a request that routes can match.
struct request_head {
  std::string_view method;
  std::string_view path;  // Without the query.
  // Returns the value of a header, given its lower-case name; empty if it is
  // missing.
  std::function<std::string_view(std::string_view name)> header;
};

// Returns the first matching route that is visible to callers on `listener`, or
// null if there is none. Routes that are not visible are skipped as if they did
// not exist.
const config::route* MatchRoute(const config::preset& preset,
                                const request_head& head,
                                config::visibility listener);

// Returns false for a path that a backend server may interpret differently from
// the routes: one with "." or ".." segments, a backslash, or an encoded ".",
// "/" or "\". Also returns false if the path does not start with "/".
bool IsPlainPath(std::string_view path);

// Returns the service called `name`, or null if there is none.
const config::service* FindService(const config::preset& preset,
                                   std::string_view name);

// Returns the share of the old version's calls, in [0, 1], that a move sends to
// the new version.
using moved_share_hook = std::function<double(const move&)>;

// Returns the version for a call; `unit` is a random number in [0, 1). The
// shares of the preset apply first. Then each move, in the order of `moves`,
// shifts its part of the old version's share to the new version, so that moves
// v1 -> v2 and v2 -> v3 combine.
//
// For example, with shares v1 = 100 and a move v1 -> v2 at 0.25, v1 has 0.75
// and v2 has 0.25, so a call with `unit` = 0.8 goes to v2.
std::string ChooseVersion(const config::service& service,
                          std::span<const move> moves,
                          const moved_share_hook& moved_share, double unit);

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_ROUTING_H_
