#include "lab/idempotency_key.h"

#include <array>
#include <chrono>
#include <cinttypes>
#include <cstdio>

namespace fireflyspar::lab {

std::string MakeIdempotencyKey(base::instant creation_time,
                               const base::random_hook& random) {
  const auto milliseconds = static_cast<std::uint64_t>(
      std::chrono::floor<std::chrono::milliseconds>(creation_time)
          .time_since_epoch()
          .count());
  const std::uint64_t high = random();
  const std::uint64_t low = random();
  // The version (7) and the variant (binary 10) are the top bits of the third
  // and the fourth group.
  std::array<char, 37> text{};
  std::snprintf(
      text.data(), text.size(),
      "%08" PRIx64 "-%04" PRIx64 "-7%03" PRIx64 "-%04" PRIx64 "-%012" PRIx64,
      (milliseconds >> 16) & 0xffffffff, milliseconds & 0xffff, high & 0xfff,
      ((high >> 12) & 0x3fff) | 0x8000, low & 0xffffffffffff);
  return text.data();
}

}  // namespace fireflyspar::lab
