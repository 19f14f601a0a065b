// Parses values of HTTP headers.
#ifndef FIREFLYSPAR_PROXY_HEADER_VALUES_H_
#define FIREFLYSPAR_PROXY_HEADER_VALUES_H_

#include <chrono>
#include <optional>
#include <string_view>

namespace fireflyspar::proxy {

// Parses a whole number of milliseconds that is not negative.
std::optional<std::chrono::milliseconds> ParseMilliseconds(
    std::string_view text);

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_HEADER_VALUES_H_
