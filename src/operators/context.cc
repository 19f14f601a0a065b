#include "operators/context.h"

#include <array>
#include <cstdint>

namespace fireflyspar::operators {

std::string NewOperationId(const base::random_hook& random) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr int kDigitsOfDraw = 16;
  std::string id;
  for (std::uint64_t draw : std::array{random(), random()}) {
    for (int i = 0; i < kDigitsOfDraw; ++i) {
      id += kDigits[draw & 0xF];
      draw >>= 4;
    }
  }
  return id;
}

}  // namespace fireflyspar::operators
