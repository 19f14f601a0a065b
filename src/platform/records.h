// The objects that the system keeps at the platform, and their text forms.
// There are few and each is small, since the platform's rates grow more slowly
// than the fleet:
//
//   watched/in_force  which snapshot is in force; changed by compare-and-set
//   watched/moves/ID  one move; its state is changed by compare-and-set
//   presets/NAME      a preset's canonical text
//   snapshots/HASH    the text that an `in_force` names; never changed
//   reserved_moves/S  the move that may run of service S (operators)
//   audit/N           segments of the audit trail; audit/head names the last
//   roster/DC         a few node addresses to join by
//   status/DC         which version is in force where, written by a few nodes
//
// What nodes wait for lies under one prefix, so that a relay needs one waiting
// watch, which the platform counts as a call, and is woken by nothing else.
#ifndef FIREFLYSPAR_PLATFORM_RECORDS_H_
#define FIREFLYSPAR_PLATFORM_RECORDS_H_

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
  std::string preset;  // The preset's name.
  std::string
      operation_id;  // Tells a writer whether its lost write took effect.

  bool operator==(const in_force&) const = default;
};

std::string ToText(const in_force& value);
base::result<in_force> ParseInForce(std::string_view text);

std::string ToText(const decisions::move& value);
base::result<decisions::move> ParseMove(std::string_view text);

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_PLATFORM_RECORDS_H_
