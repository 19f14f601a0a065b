#include "backend_servers/announcement.h"

#include <catch2/catch.hpp>

namespace fireflyspar::backend_servers {
namespace {

TEST_CASE("an announcement is unchanged by ToText and ParseAnnouncement") {
  const announcement original{
      .server_address = {.ip = "10.0.0.5", .port = 9000},
      .server = {.service = "stock",
                 .version = "v2",
                 .slots = 6,
                 .state = decisions::server_state::kStarting}};
  const auto parsed = ParseAnnouncement(ToText(original));
  REQUIRE(parsed.Ok());
  CHECK(parsed->server_address == original.server_address);
  CHECK(parsed->server == original.server);
}

TEST_CASE("an invalid announcement is refused with the offending value") {
  const struct {
    const char* text;
    const char* shown;
  } rows[] = {
      {"[]", "object"},
      {"{", "object"},
      {R"({"version":"v","address":"1.2.3.4:5","slots":1,"state":"serving"})",
       "service"},
      {R"({"service":"s","version":"v","address":"host:5","slots":1,
          "state":"serving"})",
       "host:5"},
      {R"({"service":"s","version":"v","address":"1.2.3.4:5","slots":0,
          "state":"serving"})",
       "0"},
      {R"({"service":"s","version":"v","address":"1.2.3.4:5","slots":1,
          "state":"asleep"})",
       "asleep"},
  };
  for (const auto& row : rows) {
    INFO(row.text);
    const auto parsed = ParseAnnouncement(row.text);
    REQUIRE_FALSE(parsed.Ok());
    CHECK(parsed.Failure().detail.find(row.shown) != std::string::npos);
  }
}

}  // namespace
}  // namespace fireflyspar::backend_servers
