// A snapshot is one complete configuration version: a preset and the version
// number that it was assigned when it was accepted. Snapshots are immutable. A
// node switches to a new one by swapping a pointer, so that no call uses parts
// of two versions.
#ifndef FIREFLYSPAR_CONFIG_SNAPSHOT_H_
#define FIREFLYSPAR_CONFIG_SNAPSHOT_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <string>

#include "base/result.h"
#include "config/preset.h"

namespace fireflyspar::config {

// Identifies a configuration version. The version increases by one with each
// acceptance, also when an earlier preset is accepted again; 0 means none.
struct version_id {
  std::uint64_t version = 0;
  std::string hash;  // ContentHash of the snapshot's canonical preset text.

  auto operator<=>(const version_id&) const = default;
};

struct snapshot {
  version_id id;
  std::string text;  // The canonical preset text with the hash `id.hash`.
  preset content;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

// Builds the snapshot of `id` from its canonical text. Fails with
// kMalformedMessage if the hash of the text is not `id.hash`, and with
// kBadPreset if the text is not a valid preset. A snapshot is never built in
// part.
base::result<snapshot_ptr> MakeSnapshot(version_id id, std::string text);

}  // namespace fireflyspar::config

#endif  // FIREFLYSPAR_CONFIG_SNAPSHOT_H_
