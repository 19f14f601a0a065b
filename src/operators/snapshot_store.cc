#include "operators/snapshot_store.h"

#include <algorithm>
#include <set>

#include "operators/audit_trail.h"
#include "operators/platform_calls.h"
#include "platform/object_formats.h"

namespace fireflyspar::operators {
namespace {

using base::error_kind;
using base::Fail;

constexpr int kMaxAttempts = 10;

// Number of full segments for which a snapshot is kept after its choice: when
// segment N is created, the snapshots of choices in segment N - 3 are checked.
constexpr std::uint64_t kRetainedSegments = 3;

using hash_set = std::set<std::string>;

std::string SnapshotKey(const std::string& hash) {
  return std::string(platform::kSnapshotPrefix) + hash;
}

// Returns the snapshots that this segment's choices put in force, without those
// that a pending entry of the segment names. A choice that took effect makes
// every choice begun before it fail, so none of those can still need the
// snapshot; a pending choice may have begun after it.
hash_set DroppableSnapshots(const std::vector<audit_entry>& entries) {
  hash_set old;
  for (const audit_entry& each : entries) {
    if (each.outcome == audit_outcome::kAccepted) {
      old.insert(each.snapshot_hash);
    }
  }
  for (const audit_entry& each : entries) {
    if (each.outcome == audit_outcome::kPending) old.erase(each.snapshot_hash);
  }
  old.erase("");
  return old;
}

// Returns whether an entry in segment `first` or a later one names the snapshot
// or it is in force; also true if this can't be determined.
bool IsNeeded(const context& ctx, const std::string& hash, std::uint64_t first,
              std::uint64_t last) {
  // Segments after `last` may exist by now, so the loop ends at the first empty
  // one after it.
  bool is_end = false;
  for (std::uint64_t number = first; !is_end; ++number) {
    const auto entries = EntriesOfSegment(ctx, number);
    if (!entries) return true;
    is_end = number > last && entries->empty();
    const bool is_named =
        std::ranges::find(*entries, hash, &audit_entry::snapshot_hash) !=
        entries->end();
    if (is_named) return true;
  }
  const auto object = GetOrNone(ctx, platform::kInForceKey);
  if (!object || object->version == 0) return true;
  const auto current = platform::ParseInForce(object->value);
  return !current || current->id.hash == hash;
}

}  // namespace

base::status StoreSnapshot(const context& ctx, const std::string& hash,
                           const std::string& text) {
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto before = GetOrNone(ctx, SnapshotKey(hash));
    if (!before) return before.Failure();
    if (before->version != 0 && before->value != text) {
      return Fail(error_kind::kInternal, "the snapshot stored as " + hash +
                                             " is not what its hash says");
    }
    const auto written = WriteConditionally(
        ctx, {.key = SnapshotKey(hash),
              .value = text,
              .if_version = before->version,
              .is_ours = [&](const auto& now) { return now.value == text; }});
    if (!written) return written.Failure();
    if (written->took_effect) return base::success{};
  }
  return Fail(error_kind::kConflict, "snapshot " + hash + " keeps changing");
}

void DropOldSnapshots(const context& ctx, std::uint64_t last) {
  if (last < kRetainedSegments) return;
  const std::uint64_t old_segment = last - kRetainedSegments;
  const auto entries = EntriesOfSegment(ctx, old_segment);
  if (!entries) return;
  for (const std::string& hash : DroppableSnapshots(*entries)) {
    const auto stored = Get(ctx, SnapshotKey(hash));
    if (!stored) continue;
    if (IsNeeded(ctx, hash, old_segment + 1, last)) continue;
    (void)ctx.platform.remove(stored->key, stored->version);
  }
}

}  // namespace fireflyspar::operators
