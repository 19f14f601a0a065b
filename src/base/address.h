// An IP number and a port. The system talks by IP number only and never asks a
// name service, so an address here is always numeric.
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

  // "10.0.0.1:80" or "[::1]:80".
  std::string ToText() const;
};

// Reads what ToText writes; a host name is refused. An empty text is refused.
result<address> ParseAddress(std::string_view text);

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_ADDRESS_H_
