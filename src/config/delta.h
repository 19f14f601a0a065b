// The difference between two canonical preset texts, so that a small change to
// a large preset needs few bytes when it is distributed. A delta contains the
// hashes of the base text and of the result; a node on which either hash does
// not match requests the full text instead.
#ifndef FIREFLYSPAR_CONFIG_DELTA_H_
#define FIREFLYSPAR_CONFIG_DELTA_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace fireflyspar::config {

// Replaces `removed` bytes at `offset` by `added`. Offsets refer to the base
// text and increase from edit to edit.
struct edit {
  std::uint32_t offset = 0;
  std::uint32_t removed = 0;
  std::string added;

  bool operator==(const edit&) const = default;
};

struct delta {
  std::string base_hash;
  std::string result_hash;
  std::vector<edit> edits;

  bool operator==(const delta&) const = default;
};

// Returns the delta that turns `from` into `to`.
delta MakeDelta(std::string_view from, std::string_view to);

// Applies `change` to `from`. Fails with kMalformedMessage if `from` is not its
// base, if an edit is out of order or out of bounds, if the result exceeds
// kMaxPresetBytes, or if the hash of the result differs.
base::result<std::string> ApplyDelta(std::string_view from,
                                     const delta& change);

}  // namespace fireflyspar::config

#endif  // FIREFLYSPAR_CONFIG_DELTA_H_
