// The snapshots at the platform, snapshots/HASH: stored before a choice that
// needs them, and dropped when nothing needs them any more. At 6,700 changes a
// day and 130 KB each they would otherwise grow by 870 MB a day.
//
// A snapshot must never be dropped from under a choice that another operator is
// making. So the choice's entry in the audit trail, which names the snapshot,
// is written first, and the snapshot is then written anew even if it is there.
// Whoever drops one reads the snapshot's version first and the trail second:
// either it sees the entry, or the version that it read is out of date by the
// time it removes, and the removal conflicts.
#ifndef FIREFLYSPAR_OPERATORS_SNAPSHOT_STORE_H_
#define FIREFLYSPAR_OPERATORS_SNAPSHOT_STORE_H_

#include <cstdint>
#include <string>

#include "operators/context.h"

namespace fireflyspar::operators {

// Writes the text that `hash` names, anew if it is there. The entry that names
// it must stand in the audit trail before.
base::status StoreSnapshot(const context& with, const std::string& hash,
                           const std::string& text);

// Called when the trail's segment `last` is begun: drops the snapshots that
// took effect a few segments ago, and that no later entry names and that are
// not in force. What fails here stays stored.
void DropOldSnapshots(const context& with, std::uint64_t last);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_SNAPSHOT_STORE_H_
