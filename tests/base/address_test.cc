#include "base/address.h"

#include <catch2/catch.hpp>

namespace fireflyspar::base {
namespace {

TEST_CASE("parsing and formatting an address returns the same text") {
  for (const char* text : {"127.0.0.1:80", "[::1]:65535", "10.1.2.3:0"}) {
    const auto parsed = ParseAddress(text);
    REQUIRE(parsed.Ok());
    CHECK(parsed->ToText() == text);
  }
}

TEST_CASE("parsing an invalid address fails and names the text") {
  for (const char* text : {"", "localhost:80", "127.0.0.1", "127.0.0.1:",
                           "127.0.0.1:65536", "127.0.0.1:8x", ":80"}) {
    INFO(text);
    const auto parsed = ParseAddress(text);
    REQUIRE_FALSE(parsed.Ok());
    CHECK(parsed.Failure().detail.find(text) != std::string::npos);
  }
}

}  // namespace
}  // namespace fireflyspar::base
