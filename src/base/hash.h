// Hashes: SHA-256 names immutable content, and a fast 64-bit hash orders
// instances in rendezvous hashing. Both give the same value on every node.
#ifndef FIREFLYSPAR_BASE_HASH_H_
#define FIREFLYSPAR_BASE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace fireflyspar::base {

// SHA-256 of `content` as 64 lower-case hexadecimal digits.
std::string ContentHash(std::string_view content);

// FNV-1a with a final mix, so that near-equal names land far apart.
std::uint64_t FastHash(std::string_view text);

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_HASH_H_
