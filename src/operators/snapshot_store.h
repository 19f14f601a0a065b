// Stores snapshots at the platform, as snapshots/HASH, and removes them when
// nothing needs them any more. A snapshot is stored before the choice (an
// operator's `preset use`) that needs it takes effect. At 6,700 changes a day
// and 130 KB each, snapshots would otherwise grow by 870 MB a day.
//
// A snapshot must never be removed while another operator makes a choice that
// needs it. The choice's audit entry, which names the snapshot, is therefore
// written first, and the snapshot is then written again even if it exists. A
// removal reads the snapshot's version first and the audit trail second. If it
// finds the entry, it keeps the snapshot. If the entry is written only after
// the trail was read, the snapshot is written again later still: either before
// the removal, which then conflicts because the version has changed, or after
// it, which stores the snapshot anew.
#ifndef FIREFLYSPAR_OPERATORS_SNAPSHOT_STORE_H_
#define FIREFLYSPAR_OPERATORS_SNAPSHOT_STORE_H_

#include <cstdint>
#include <string>

#include "operators/context.h"

namespace fireflyspar::operators {

// Writes the snapshot whose hash is `hash`, again if it exists. The audit entry
// that names it must have been written before.
base::status StoreSnapshot(const context& ctx, const std::string& hash,
                           const std::string& text);

// Called when the audit trail's segment `last` is created. Removes the
// snapshots that were put in force by choices in the segment kRetainedSegments
// (three) before it. A snapshot is kept if it is in force, if a pending entry
// of that segment or any entry of a later segment names it, or if this can't be
// determined. If a removal fails, the snapshot stays stored.
void DropOldSnapshots(const context& ctx, std::uint64_t last);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_SNAPSHOT_STORE_H_
