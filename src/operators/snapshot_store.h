// Stores snapshots at the platform, as snapshots/HASH, before a choice that
// needs them, and removes them when nothing needs them any more. At 6,700
// changes a day and 130 KB each they would otherwise grow by 870 MB a day.
//
// A snapshot must never be removed while another operator makes a choice that
// needs it. The choice's audit entry, which names the snapshot, is therefore
// written first, and the snapshot is then written again even if it exists. A
// removal reads the snapshot's version first and the audit trail second. Either
// it finds the entry, or the snapshot has been written again since its version
// was read, and the conditional removal conflicts.
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

// Removes the snapshots that were put in force a few segments ago, unless a
// later entry names them or they are in force. Called when the audit trail's
// segment `last` is created. If a removal fails, the snapshot stays stored.
void DropOldSnapshots(const context& ctx, std::uint64_t last);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_SNAPSHOT_STORE_H_
