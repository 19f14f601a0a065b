// A numeric IP address and a port. The system connects by IP address only and
// never queries a name service, so host names do not occur here.
#ifndef FIREFLYSPAR_BASE_ADDRESS_H_
#define FIREFLYSPAR_BASE_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"

namespace fireflyspar::base {

struct address {
  std::string ip;  // Dotted IPv4, or IPv6 without brackets.
  std::uint16_t port = 0;

  auto operator<=>(const address&) const = default;

  // Returns "10.0.0.1:80" or "[::1]:80".
  std::string ToText() const;
};

// Parses the form that ToText writes. Fails with kBadSettings for host names
// and for the empty text.
result<address> ParseAddress(std::string_view text);

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_ADDRESS_H_
