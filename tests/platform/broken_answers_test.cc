// A platform in trouble that sends what is no answer. A write may have taken
// effect then, and nothing is read from it.
#include <catch2/catch.hpp>
#include <string>

#include "base/metrics.h"
#include "platform/http_object_api.h"
#include "tests/callers/scripted_server.h"

namespace fireflyspar::platform {
namespace {

using base::error_kind;
using callers::scripted_answer;
using callers::scripted_server;

constexpr char kObject[] = R"({"key":"k","version":7,"value":"broken"})";

std::string WithLength(const std::string& line, const std::string& fields) {
  const std::string body = kObject;
  return "HTTP/1.1 " + line + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A platform that answers each call with the same bytes and then closes the
// connection.
struct broken_platform {
  explicit broken_platform(const std::string& bytes)
      : server([bytes](const std::string&) {
          return scripted_answer{.bytes = bytes, .closes = true};
        }) {}

  scripted_server server;
  base::metrics metrics;
  object_api api =
      MakeHttpObjectApi({.platform_address = server.Address(),
                         .timeout = std::chrono::milliseconds(5000),
                         .metrics = &metrics});
};

std::string BrokenAnswer() {
  return GENERATE(
      WithLength("000 OK", ""), WithLength("099 OK", ""),
      WithLength("101 OK", ""), WithLength("199 OK", ""),
      WithLength("600 OK", ""), WithLength("999 OK", ""),
      WithLength("20 OK", ""), WithLength("2000 OK", ""),
      WithLength("200 OK", "Na me: v\r\n"),
      WithLength("200 OK", "Na\x01me: v\r\n"),
      WithLength("200 OK", "Name : v\r\n"), WithLength("200 OK", ": v\r\n"),
      WithLength("200 OK", "Name: a\x01\r\n"), WithLength("200 OK", "Name\r\n"),
      WithLength("200 OK", "Content-Length: 3\r\n"),
      WithLength("200 OK", "Transfer-Encoding: gzip\r\n"),
      WithLength("200 OK", "Transfer-Encoding: chunked\r\n"),
      std::string("220 ready\r\n\r\n"));
}

// Guards against a write that is called refused, or taken for acknowledged,
// when nobody knows.
TEST_CASE("a write that is answered by no answer may have taken effect") {
  const std::string bytes = BrokenAnswer();
  CAPTURE(bytes);
  broken_platform platform(bytes);
  const auto put = platform.api.put("k", "v", 0);
  REQUIRE_FALSE(put);
  CHECK(put.Failure().Kind() == error_kind::kResponseLost);
}

TEST_CASE("nothing is read from what is no answer") {
  const std::string bytes = BrokenAnswer();
  CAPTURE(bytes);
  broken_platform platform(bytes);
  const auto got = platform.api.get("k");
  REQUIRE_FALSE(got);
  CHECK(got.Failure().Kind() == error_kind::kPlatformUnavailable);
}

}  // namespace
}  // namespace fireflyspar::platform
