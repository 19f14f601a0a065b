#include "lab/idempotency_key.h"

#include <array>
#include <chrono>
#include <cstdio>

namespace fireflyspar::lab {

std::string MakeIdempotencyKey(base::instant birth,
                               const base::random_hook& random) {
  const auto milliseconds = static_cast<unsigned long long>(
      std::chrono::floor<std::chrono::milliseconds>(birth)
          .time_since_epoch()
          .count());
  const unsigned long long high = random();
  const unsigned long long low = random();
  // Version 7 and variant 10 take the top bits of the third and fourth group.
  std::array<char, 37> text{};
  std::snprintf(
      text.data(), text.size(), "%08llx-%04llx-7%03llx-%04llx-%012llx",
      (milliseconds >> 16) & 0xffffffff, milliseconds & 0xffff, high & 0xfff,
      ((high >> 12) & 0x3fff) | 0x8000, low & 0xffffffffffff);
  return text.data();
}

}  // namespace fireflyspar::lab
