// Hash functions: SHA-256 identifies immutable content, and a fast 64-bit hash
// ranks instances in rendezvous hashing. Both return the same value on every
// node.
#ifndef FIREFLYSPAR_BASE_HASH_H_
#define FIREFLYSPAR_BASE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace fireflyspar::base {

// Returns the SHA-256 of `content` as 64 lower-case hexadecimal digits.
std::string ContentHash(std::string_view content);

// Returns the FNV-1a hash of `text` with a final mixing step, so that similar
// names get very different hashes.
std::uint64_t FastHash(std::string_view text);

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_HASH_H_
