// What a command takes for the answer of a node.
#include "operators/node_client.h"

#include <catch2/catch.hpp>
#include <string>

#include "tests/callers/scripted_server.h"

namespace fireflyspar::operators {
namespace {

using callers::scripted_answer;
using callers::scripted_server;

base::result<std::string> Ask(const std::string& bytes) {
  scripted_server node([bytes](const std::string&) {
    return scripted_answer{.bytes = bytes, .closes = true};
  });
  return CallNode({.method = "GET", .node = node.Address(), .path = "/status"});
}

TEST_CASE("the body of a node's whole answer is returned") {
  const auto answer = Ask(callers::WholeAnswer("fine"));
  REQUIRE(answer);
  CHECK(*answer == "fine");
}

// Guards against a command that reports what no node has said.
TEST_CASE("what is no answer of a node is not shown as one") {
  const std::string rest = "Content-Length: 4\r\n\r\nevil";
  const std::string bytes = GENERATE_COPY(
      "HTTP/1.1 000 OK\r\n" + rest, "HTTP/1.1 999 OK\r\n" + rest,
      "HTTP/1.1 200 OK\r\nNa me: v\r\n" + rest,
      "HTTP/1.1 200 OK\r\nNa\x01me: v\r\n" + rest,
      "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n" + rest,
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nevil",
      "HTTP/1.1 503 No\r\n" + rest,
      std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nevil"),
      std::string());
  CAPTURE(bytes);
  const auto answer = Ask(bytes);
  REQUIRE_FALSE(answer);
  CHECK(answer.Failure().Kind() == base::error_kind::kPeerUnavailable);
}

}  // namespace
}  // namespace fireflyspar::operators
