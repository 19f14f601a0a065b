// Malformed and oversized requests get a clear refusal, and a hidden route gets
// the same answer as a missing one.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tests/callers/small_fleet.h"

namespace fireflyspar::callers {
namespace {

std::string Request(const std::string& method, const std::string& path) {
  return method + " " + path + " HTTP/1.1\r\nHost: t\r\nConnection: close\r\n" +
         (method == "POST" ? "Content-Length: 0\r\n" : "") + "\r\n";
}

TEST_CASE("malformed requests are refused with 400 and the connection ends") {
  small_fleet fleet({{.id = "a"}});
  const std::string post = "POST /stock HTTP/1.1\r\nContent-Length: 3\r\n";
  const std::vector<std::string> malformed = {
      "nonsense\r\n\r\n",
      "GET\r\n\r\n",
      "GET /stock HTTP/9.9\r\n\r\n",
      "GET /stock HTTP/1.1\r\nno colon\r\n\r\n",
      "GET /stock HTTP/1.1\r\nContent-Length: x\r\n\r\n",
      post + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      post + "Content-Length: 4\r\n\r\nabcd",
      "POST /stock HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "CONNECT other:443 HTTP/1.1\r\nHost: other\r\n\r\n",
      "GET /stock/../crates HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n",
      "GET /stock/%2e%2e/crates HTTP/1.1\r\nConnection: close\r\n\r\n",
      "GET http://t/crates HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n",
  };
  const auto bound = fleet.At(0).path->Bound();
  for (const base::address& to : {bound.outside, bound.inside, bound.gate}) {
    for (const std::string& bytes : malformed) {
      INFO(bytes);
      CHECK(SendBytes(to, bytes).starts_with("HTTP/1.1 400"));
    }
  }
  CHECK(fleet.At(0).server->Runs().total == 0);
}

TEST_CASE("oversized headers and bodies are refused and not run") {
  small_fleet fleet({{.id = "a"}});
  const base::address outside = fleet.At(0).path->Bound().outside;
  const std::string large(20'000, 'h');
  CHECK(SendBytes(outside, "GET /stock HTTP/1.1\r\nX: " + large + "\r\n\r\n")
            .starts_with("HTTP/1.1 431"));
  CHECK(SendBytes(outside,
                  "POST /orders HTTP/1.1\r\nContent-Length: 1048577\r\n\r\n")
            .starts_with("HTTP/1.1 413"));
  CHECK(SendBytes(outside,
                  "POST /orders HTTP/1.1\r\n"
                  "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n")
            .starts_with("HTTP/1.1 413"));
  CHECK(fleet.At(0).server->Runs().total == 0);
}

TEST_CASE("outside, an inside-only route gets the answer of a missing one") {
  small_fleet fleet({{.id = "a"}});
  const auto bound = fleet.At(0).path->Bound();
  for (const char* method : {"GET", "HEAD", "OPTIONS", "POST", "PUT", "DELETE",
                             "PATCH", "TRACE", "BREW"}) {
    INFO(method);
    const std::string hidden =
        SendBytes(bound.outside, Request(method, "/crates"));
    CHECK(hidden.starts_with("HTTP/1.1 404"));
    CHECK(hidden == SendBytes(bound.outside, Request(method, "/absent")));
    CHECK(hidden == SendBytes(bound.outside, Request(method, "/crates/1")));
  }
  CHECK(fleet.At(0).server->Runs().total == 0);
  CHECK(CallOnce(bound.inside, Get("/crates")).result_int() == 200);
}

TEST_CASE("a caller outside can't set the system's headers") {
  small_fleet fleet({{.id = "a"}});
  auto request = Get("/stock");
  request.set("fireflyspar-attempt", "7");
  request.set("fireflyspar-request-id", "forged");
  const auto answer = CallOnce(fleet.At(0).path->Bound().outside, request);
  CHECK(answer.result_int() == 200);
  CHECK(answer.body().find("forged") == std::string::npos);
  CHECK(answer.body().find("\"attempt\":\"\"") != std::string::npos);
}

TEST_CASE("an incomplete request is dropped after the read timeout") {
  small_fleet fleet(
      {{.id = "a", .read_timeout = std::chrono::milliseconds(50)}});
  const std::string answer = SendBytes(fleet.At(0).path->Bound().outside,
                                       "GET /stock HTTP/1.1\r\nX-Slow: ");
  CHECK(answer.empty());
}

}  // namespace
}  // namespace fireflyspar::callers
