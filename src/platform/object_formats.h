// Defines the keys and JSON formats of the objects that the system stores at
// the platform. There are few objects and each is small, since the platform's
// rate limits grow more slowly than the fleet:
//
//   watched/in_force  which snapshot is in force; changed by compare-and-set
//   watched/moves/ID  one move; its state is changed by compare-and-set
//   presets/NAME      a preset's canonical text
//   snapshots/HASH    the text that an `in_force` refers to; never changed
//   reserved_moves/S  the one move of service S that may run (operators)
//   audit/N           segment of the audit trail; audit/head names the last one
//   roster/DC         addresses of a few nodes through which others join
//   status/DC         number of nodes on each version, written by a few nodes
//
// The objects whose changes nodes wait for have one common prefix, so that a
// relay needs only one waiting watch, which the platform counts as a call, and
// other writes do not end that watch.
#ifndef FIREFLYSPAR_PLATFORM_OBJECT_FORMATS_H_
#define FIREFLYSPAR_PLATFORM_OBJECT_FORMATS_H_

#include <string>
#include <string_view>

#include "base/result.h"
#include "config/snapshot.h"
#include "decisions/move.h"

namespace fireflyspar::platform {

inline constexpr std::string_view kWatchedPrefix = "watched/";
inline constexpr std::string_view kInForceKey = "watched/in_force";
inline constexpr std::string_view kPresetPrefix = "presets/";
inline constexpr std::string_view kSnapshotPrefix = "snapshots/";
inline constexpr std::string_view kMovePrefix = "watched/moves/";
inline constexpr std::string_view kAuditPrefix = "audit/";
inline constexpr std::string_view kRosterPrefix = "roster/";
inline constexpr std::string_view kStatusPrefix = "status/";

// The value of `in_force`.
struct in_force {
  config::version_id id;
  std::string preset;  // Name of the preset.
  // Tells a writer whose answer was lost whether its write took effect.
  std::string operation_id;

  bool operator==(const in_force&) const = default;
};

std::string ToText(const in_force& value);
base::result<in_force> ParseInForce(std::string_view text);

std::string ToText(const decisions::move& value);
base::result<decisions::move> ParseMove(std::string_view text);

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_PLATFORM_OBJECT_FORMATS_H_
