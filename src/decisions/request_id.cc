#include "decisions/request_id.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <chrono>

namespace fireflyspar::decisions {
namespace {

constexpr std::size_t kLength = 36;
constexpr std::size_t kVersionAt = 14;
constexpr std::size_t kVariantAt = 19;
constexpr std::string_view kVariants = "89ab";
constexpr int kHexadecimal = 16;

bool IsDashAt(std::size_t position) {
  return position == 8 || position == 13 || position == 18 || position == 23;
}

bool IsUuidV7(std::string_view text) {
  if (text.size() != kLength) return false;
  for (std::size_t at = 0; at < kLength; ++at) {
    const auto letter = static_cast<unsigned char>(text[at]);
    const bool fits = IsDashAt(at) ? letter == '-' : std::isxdigit(letter) != 0;
    if (!fits) return false;
  }
  return text[kVersionAt] == '7' &&
         kVariants.find(text[kVariantAt]) != std::string_view::npos;
}

}  // namespace

base::result<request_id> ParseRequestId(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(), [](unsigned char letter) {
    return static_cast<char>(std::tolower(letter));
  });
  if (!IsUuidV7(lower)) {
    return base::Fail(
        base::error_kind::kBadRequest,
        "Idempotency-Key is '" + std::string(text) + "', expected a UUIDv7");
  }
  // The first 48 bits are milliseconds since the Unix epoch.
  const std::string digits = lower.substr(0, 8) + lower.substr(9, 4);
  std::uint64_t milliseconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), milliseconds,
                  kHexadecimal);
  return request_id{
      .text = std::move(lower),
      .creation_time = base::instant(std::chrono::milliseconds(milliseconds))};
}

}  // namespace fireflyspar::decisions
