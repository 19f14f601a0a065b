#include "proxy/notice_headers.h"

#include <charconv>
#include <cmath>
#include <string_view>

namespace fireflyspar::proxy {
namespace {

using backend_servers::HeaderOf;

constexpr std::string_view kIsLeaving = "1";

std::optional<double> ParseLimit(std::string_view text) {
  double number = 0;
  const char* const begin = text.data();
  const char* const end = begin + text.size();
  const auto parsed =
      std::from_chars(begin, end, number, std::chars_format::fixed);
  const bool is_whole = parsed.ec == std::errc() && parsed.ptr == end;
  if (!is_whole || !std::isfinite(number) || number < 0) return std::nullopt;
  return number;
}

}  // namespace

std::optional<decisions::server_notices> ReadNotices(
    const backend_servers::http_response& answer, const header_names& names) {
  decisions::server_notices said;
  said.is_leaving = HeaderOf(answer, names.is_leaving) == kIsLeaving;
  const std::string_view limit = HeaderOf(answer, names.request_limit);
  if (limit.empty()) return said;
  said.requests_per_second = ParseLimit(limit);
  if (!said.requests_per_second) return std::nullopt;
  return said;
}

}  // namespace fireflyspar::proxy
