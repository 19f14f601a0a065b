// One entry of the audit trail: who changed what, when, and what came of it.
#ifndef FIREFLYSPAR_OPERATORS_AUDIT_ENTRY_H_
#define FIREFLYSPAR_OPERATORS_AUDIT_ENTRY_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/hooks.h"
#include "base/result.h"
#include "platform/object_api.h"

namespace fireflyspar::operators {

enum class audit_action { kPutPreset, kUsePreset, kStartMove, kTakeBackMove };

// kPending: begun, and its outcome is not known yet.
enum class audit_outcome { kPending, kAccepted, kRefused };

struct audit_entry {
  std::string operation_id;
  std::string who;
  base::instant when;
  audit_action action = audit_action::kPutPreset;
  std::string from;  // For people: "version 6, preset 'ordinary'".
  std::string to;
  audit_outcome outcome = audit_outcome::kPending;
  std::string detail;  // Why it was refused.

  // What tells later whether the change took effect: the object it was to
  // change, that object's version before, and the marks (see MarkOf) of the
  // values before and after.
  std::string key;
  std::uint64_t if_version = 0;
  std::string mark_before;
  std::string mark_after;
  std::string snapshot_hash;  // Of a choice: the snapshot that it needs.

  bool operator==(const audit_entry&) const = default;
};

std::string_view ToText(audit_action action);
std::string_view ToText(audit_outcome outcome);

// The entries of one segment.
std::string ToText(std::span<const audit_entry> entries);
base::result<std::vector<audit_entry>> ParseEntries(std::string_view text);

// Names the value that an object holds: the operation that put a preset in
// force, the operation that last changed a move, or a preset's hash. Empty for
// an object that does not exist.
std::string MarkOf(const platform::object& object);

// What came of `entry`, given its object as it is now and every entry since;
// nothing while that can't be said for certain. An entry took effect when its
// mark stands now, or when a later entry found it standing.
std::optional<audit_outcome> OutcomeOf(const audit_entry& entry,
                                       const platform::object& now,
                                       std::span<const audit_entry> entries);

// The evidence of a move that was reserved and never started.
inline constexpr std::string_view kNeverStarted = "never started";

// How a move taken back by hand names its operation in its evidence.
std::string OperationNote(std::string_view operation_id);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_AUDIT_ENTRY_H_
