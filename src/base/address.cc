#include "base/address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace fireflyspar::base {
namespace {

bool IsNumericIp(const std::string& ip) {
  std::array<unsigned char, sizeof(in6_addr)> binary{};
  return inet_pton(AF_INET, ip.c_str(), binary.data()) == 1 ||
         inet_pton(AF_INET6, ip.c_str(), binary.data()) == 1;
}

}  // namespace

std::string address::ToText() const {
  const bool is_v6 = ip.find(':') != std::string::npos;
  return (is_v6 ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

result<address> ParseAddress(std::string_view text) {
  const failure bad = Fail(error_kind::kBadSettings,
                           "'" + std::string(text) +
                               "' is not an IP number and port, as in "
                               "10.0.0.1:8080");
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return bad;
  std::string_view ip = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  if (ip.starts_with('[') && ip.ends_with(']')) {
    ip = ip.substr(1, ip.size() - 2);
  }
  address parsed{.ip = std::string(ip)};
  const auto [end, error] = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), parsed.port);
  const bool whole = end == port_text.data() + port_text.size();
  if (error != std::errc() || !whole || !IsNumericIp(parsed.ip)) return bad;
  return parsed;
}

}  // namespace fireflyspar::base
