#include "base/hash.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>

namespace fireflyspar::base {

std::string ContentHash(std::string_view content) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(content.data()), content.size(),
         digest.data());
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(digest.size() * 2);
  for (const unsigned char byte : digest) {
    hex.push_back(kDigits[byte >> 4]);
    hex.push_back(kDigits[byte & 0xF]);
  }
  return hex;
}

std::uint64_t FastHash(std::string_view text) {
  constexpr std::uint64_t kOffset = 0xcbf29ce484222325;
  constexpr std::uint64_t kPrime = 0x100000001b3;
  std::uint64_t hash = kOffset;
  for (const char byte : text) {
    hash ^= static_cast<unsigned char>(byte);
    hash *= kPrime;
  }
  // The finaliser of SplitMix64. Without it, the hashes of short names have
  // almost the same high bits.
  hash ^= hash >> 30;
  hash *= 0xbf58476d1ce4e5b9;
  hash ^= hash >> 27;
  hash *= 0x94d049bb133111eb;
  hash ^= hash >> 31;
  return hash;
}

}  // namespace fireflyspar::base
