// Makes CBOR documents from any writer safe to decode. The decoder recurses
// into nested values, and rejects a whole document for one value that it does
// not know. Here such a value is replaced by null, so that it costs itself
// alone: a list of objects from many writers stays readable.
#ifndef FIREFLYSPAR_BASE_READABLE_CBOR_H_
#define FIREFLYSPAR_BASE_READABLE_CBOR_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace fireflyspar::base {

struct readable_cbor {
  // The document with its replacements; empty if it needs none.
  std::string replaced;
  std::size_t replacements = 0;
};

// Replaces by null each of these values: arrays and maps that nest deeper than
// `max_depth`; maps with a key that is no text; tagged values, such as integers
// beyond 64 bits; integers below the least 64-bit one; simple values other than
// false, true and null; and texts that are not UTF-8. Returns nothing if the
// bytes are not exactly one well-formed item (RFC 8949). Does not recurse.
std::optional<readable_cbor> MakeReadable(std::string_view bytes,
                                          std::size_t max_depth);

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_READABLE_CBOR_H_
