// A snapshot is one whole configuration version: the preset in force, under
// the version that its acceptance gave it. It is immutable; nodes swap one
// pointer to it, so that no call ever sees parts of two versions.
#ifndef FIREFLYSPAR_CONFIG_SNAPSHOT_H_
#define FIREFLYSPAR_CONFIG_SNAPSHOT_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <string>

#include "base/result.h"
#include "config/preset.h"

namespace fireflyspar::config {

// Names a configuration version. Versions grow by one with each acceptance;
// zero is "none". Choosing an earlier preset again makes a new version.
struct version_id {
  std::uint64_t version = 0;
  std::string hash;  // ContentHash of the snapshot's canonical preset text.

  auto operator<=>(const version_id&) const = default;
};

struct snapshot {
  version_id id;
  std::string text;  // The canonical preset text that `id.hash` names.
  preset content;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

// Builds the snapshot of `id` from its canonical text. Fails with
// kMalformedMessage when the text's hash is not `id.hash`, and with kBadPreset
// when the text does not parse and validate; nothing is then taken in part.
base::result<snapshot_ptr> MakeSnapshot(version_id id, std::string text);

}  // namespace fireflyspar::config

#endif  // FIREFLYSPAR_CONFIG_SNAPSHOT_H_
