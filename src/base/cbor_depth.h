// Checks how deep a CBOR document nests arrays and maps, without recursion, so
// that the check is safe for bytes from any writer.
#ifndef FIREFLYSPAR_BASE_CBOR_DEPTH_H_
#define FIREFLYSPAR_BASE_CBOR_DEPTH_H_

#include <cstddef>
#include <string_view>

namespace fireflyspar::base {

// Returns whether the bytes nest arrays, maps and texts of unknown length
// deeper than `max_depth`. For bytes that are not CBOR the result is
// unspecified; decoding them fails.
bool ExceedsCborDepth(std::string_view bytes, std::size_t max_depth);

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_CBOR_DEPTH_H_
