#include "proxy/notice_headers.h"

#include <catch2/catch.hpp>
#include <string>

namespace fireflyspar::proxy {
namespace {

const header_names kNames{.request_limit = "Limit", .is_leaving = "Leaving"};

std::optional<decisions::server_notices> Read(const std::string& limit,
                                              const std::string& leaving) {
  backend_servers::http_response answer;
  if (!limit.empty()) answer.set(kNames.request_limit, limit);
  if (!leaving.empty()) answer.set(kNames.is_leaving, leaving);
  return ReadNotices(answer, kNames);
}

TEST_CASE("an answer without notices names no limit") {
  const auto said = Read("", "");
  REQUIRE(said);
  CHECK(*said == decisions::server_notices{});
}

TEST_CASE("a limit is a decimal number") {
  CHECK(Read("20.4", "").value().requests_per_second == 20.4);
  CHECK(Read("7", "").value().requests_per_second == 7);
  CHECK(Read("0", "").value().requests_per_second == 0);
}

TEST_CASE("a limit that is no number of requests is unreadable") {
  for (const char* const bad :
       {"-1", "nan", "inf", "1e3", "0x10", "20.4/s", "many", "1 2", "+3"}) {
    CAPTURE(bad);
    CHECK_FALSE(Read(bad, ""));
  }
}

TEST_CASE("only 1 says that a server leaves") {
  CHECK(Read("", "1").value().is_leaving);
  CHECK_FALSE(Read("", "0").value().is_leaving);
}

}  // namespace
}  // namespace fireflyspar::proxy
