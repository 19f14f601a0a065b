// The audit trail: a record, stored at the platform, of every change that an
// operator requested. It has to be complete and free of duplicates despite lost
// responses, races and crashes, and its size is bounded.
//
// An entry is written as pending before its change, and its outcome is recorded
// after the change. If the entry were written only afterwards, a crash in
// between would leave a change with no record of who made it. An entry that
// stays pending is resolved later, by the next change or the next read of the
// trail, from the objects stored at the platform (InferOutcome). A change whose
// entry can't be written is not made.
//
// Entries are stored in segments, audit/N, of bounded size and number; the
// oldest segment is removed. audit/head holds the number of the last segment.
// It may lag by one, since a segment is created before the head is updated. A
// change costs two writes to the trail: 0.16 a second at 6,700 changes a day.
#ifndef FIREFLYSPAR_OPERATORS_AUDIT_TRAIL_H_
#define FIREFLYSPAR_OPERATORS_AUDIT_TRAIL_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "operators/audit_entry.h"
#include "operators/context.h"

namespace fireflyspar::operators {

// The segment that an entry was appended to.
struct append_result {
  std::uint64_t segment = 0;
  bool created_segment = false;  // True for the segment's first entry.
};

// Appends a pending entry exactly once, even if responses are lost and the
// write is retried.
base::result<append_result> AppendEntry(const context& ctx,
                                        const audit_entry& entry);

// Records an entry's outcome and resolves other entries that are still pending.
// If this fails, the entry stays pending and is resolved later.
base::status RecordOutcome(const context& ctx, std::string_view operation_id,
                           audit_outcome outcome, std::string_view detail);

// Returns the last `limit` entries, oldest first, after resolving the pending
// entries whose outcome is certain by now.
base::result<std::vector<audit_entry>> ReadTrail(const context& ctx,
                                                 std::size_t limit);

// Returns the entries of one segment as they are stored, or none if the segment
// does not exist.
base::result<std::vector<audit_entry>> EntriesOfSegment(const context& ctx,
                                                        std::uint64_t number);

// Returns the entries of the last few segments as they are stored.
base::result<std::vector<audit_entry>> RecentEntries(const context& ctx);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_AUDIT_TRAIL_H_
