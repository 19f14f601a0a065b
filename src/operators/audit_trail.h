// The audit trail: every change that an operator asked for, kept at the
// platform. It must be complete and without doubles after lost answers, races
// and crashes, yet bounded.
//
// An entry is written as pending before its change and given its outcome after
// it. Were it written only afterwards, a crash in between would leave a change
// of which nobody knows who made it. An entry that is left pending is settled
// later, by the next change or by whoever reads the trail, from what the
// platform holds (OutcomeOf). A change whose entry can't be written isn't made.
//
// Entries lie in segments, audit/N, of bounded size and number; the oldest
// segment is dropped. audit/head says which segment is the last; it may lag by
// one, since the segment is made before it. A change costs two writes here: at
// 6,700 changes a day, 0.16 a second.
#ifndef FIREFLYSPAR_OPERATORS_AUDIT_TRAIL_H_
#define FIREFLYSPAR_OPERATORS_AUDIT_TRAIL_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "operators/audit_entry.h"
#include "operators/context.h"

namespace fireflyspar::operators {

// Where an entry was appended.
struct append_result {
  std::uint64_t segment = 0;
  bool began_segment = false;  // It is the segment's first.
};

// Appends a pending entry, once, however often its answer is lost.
base::result<append_result> AppendEntry(const context& with,
                                        const audit_entry& entry);

// Notes an entry's outcome and settles others that are still pending. Nothing
// is lost when this fails: the entry is settled later.
base::status NoteOutcome(const context& with, std::string_view operation_id,
                         audit_outcome outcome, std::string_view detail);

// The last `limit` entries, oldest first, after settling what can be.
base::result<std::vector<audit_entry>> ReadTrail(const context& with,
                                                 std::size_t limit);

// The entries of one segment, as they are stored; none when it isn't there.
base::result<std::vector<audit_entry>> EntriesOfSegment(const context& with,
                                                        std::uint64_t number);

// Entries of the last few segments, as they are stored.
base::result<std::vector<audit_entry>> RecentEntries(const context& with);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_AUDIT_TRAIL_H_
