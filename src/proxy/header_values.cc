#include "proxy/header_values.h"

#include <charconv>
#include <cstdint>

namespace fireflyspar::proxy {

std::optional<std::chrono::milliseconds> ParseMilliseconds(
    std::string_view text) {
  std::int64_t number = 0;
  const char* const begin = text.data();
  const char* const end = begin + text.size();
  const auto parsed = std::from_chars(begin, end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || number < 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(number);
}

}  // namespace fireflyspar::proxy
