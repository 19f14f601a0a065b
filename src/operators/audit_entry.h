// An entry of the audit trail: which operator requested which change, when, and
// with what outcome. When no outcome was recorded, because the operator's
// process crashed or a response was lost, it is inferred from the objects
// stored at the platform.
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

enum class audit_action { kPutPreset, kUsePreset, kStartMove, kRollBackMove };

// kPending: the change was begun and its outcome is not recorded yet.
enum class audit_outcome { kPending, kAccepted, kRefused };

struct audit_entry {
  std::string operation_id;
  std::string who;
  base::instant when;
  audit_action action = audit_action::kPutPreset;
  std::string from;  // Readable text: "version 6, preset 'ordinary'".
  std::string to;
  audit_outcome outcome = audit_outcome::kPending;
  std::string detail;  // Reason for the refusal.

  // These fields later show whether the change took effect: the key of the
  // object to change, that object's version before the change (not recorded for
  // kRollBackMove, which retries at later versions), and the identifiers (see
  // ValueIdOf) of its value before and after.
  std::string key;
  std::uint64_t if_version = 0;
  std::string value_id_before;
  std::string value_id_after;
  std::string snapshot_hash;  // For kUsePreset: its snapshot.

  bool operator==(const audit_entry&) const = default;
};

std::string_view ToText(audit_action action);
std::string_view ToText(audit_outcome outcome);

// Formats and parses the entries of one segment: JSON with an entry per line.
std::string ToText(std::span<const audit_entry> entries);
base::result<std::vector<audit_entry>> ParseEntries(std::string_view text);

// Returns an identifier of the value that an object holds: the operation that
// put a preset in force, the operation that started a move or rolled it back by
// hand, or a preset's hash. Empty for an object that does not exist.
std::string ValueIdOf(const platform::object& object);

// Infers the outcome of `entry` from the present state of its object and from
// all entries appended since; returns nothing while the outcome is uncertain. A
// change took effect if the object holds its value now, or if a later entry
// recorded that it found that value (value_id_before).
std::optional<audit_outcome> InferOutcome(const audit_entry& entry,
                                          const platform::object& now,
                                          std::span<const audit_entry> entries);

// Prefix of the evidence of a move that was reserved but never created.
inline constexpr std::string_view kNeverStarted = "never started";

// Returns the suffix that names the operation in the evidence of a move rolled
// back by hand.
std::string OperationSuffix(std::string_view operation_id);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_AUDIT_ENTRY_H_
