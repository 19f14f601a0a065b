// The difference between two canonical preset texts, so that a small change to
// a large preset costs few bytes on its way through the fleet. A delta names
// the hash it starts from and the hash it must end at; a node for which either
// does not hold asks for the whole text instead.
#ifndef FIREFLYSPAR_CONFIG_DELTA_H_
#define FIREFLYSPAR_CONFIG_DELTA_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace fireflyspar::config {

// Replace `removed` bytes at `offset` of the base by `added`. Offsets refer to
// the base text and grow from edit to edit.
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

// The delta that turns `from` into `to`.
delta MakeDelta(std::string_view from, std::string_view to);

// Applies `change` to `from`. Fails with kMalformedMessage when `from` is not
// its base, when an edit is out of bounds or when the result hash differs.
base::result<std::string> ApplyDelta(std::string_view from,
                                     const delta& change);

}  // namespace fireflyspar::config

#endif  // FIREFLYSPAR_CONFIG_DELTA_H_
