// Servers that send bytes without end, or a second copy of an answer.
#include "scripted_peer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace fireflyspar::backend_servers {
namespace {

using std::chrono::milliseconds;

std::string Answer(const std::string& id, const std::string& body) {
  const std::string echo = id.empty() ? "" : "Request-Id: " + id + "\r\n";
  return "HTTP/1.1 200 OK\r\n" + echo +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

net::awaitable<void> Write(tcp::socket& socket, std::string bytes) {
  co_await net::async_write(socket, net::buffer(bytes), net::use_awaitable);
}

// What one exchange may take from a server that sends without end: the longest
// answer, and what the system buffers at both ends.
constexpr std::size_t kMaxTaken = kMaxResponseBytes + 16'000'000;

struct endless_answer {
  std::string begin;   // Sent once.
  std::string repeat;  // Sent until the connection ends.
};

// Guards against a process that is killed for the memory that bytes without
// end take, and against a request that waits until its deadline for them.
TEST_CASE("bytes without end are given up on") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string filler(65'536, 'a');
  const auto sent = GENERATE_COPY(
      endless_answer{"", filler},               // No answer.
      endless_answer{"HTTP/1.1 200 ", filler},  // A reason.
      endless_answer{ok + "Header: ", filler},  // A header.
      endless_answer{ok, "Name: value\r\n"},    // Headers.
      endless_answer{ok + "\r\n", filler},      // To the close.
      endless_answer{ok + "Content-Length: 900000000000\r\n\r\n", filler},
      endless_answer{chunked, "1000\r\n" + std::string(4096, 'a') + "\r\n"},
      endless_answer{chunked + "5;name=", filler},           // An extension.
      endless_answer{chunked + "0\r\nTrailer: ", filler},    // A trailer.
      endless_answer{chunked + "0\r\n", "Name: value\r\n"},  // Trailers.
      endless_answer{"", "HTTP/1.1 100 Continue\r\n\r\n"},
      endless_answer{"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"});
  CAPTURE(sent.begin, sent.repeat.substr(0, 30));
  std::size_t taken = 0;
  peer_client client(
      [&](tcp::socket& socket, const std::string&) -> net::awaitable<void> {
        co_await Write(socket, sent.begin);
        std::string block = sent.repeat;
        while (block.size() < filler.size()) block += sent.repeat;
        for (;;) {
          taken += co_await net::async_write(socket, net::buffer(block),
                                             net::use_awaitable);
        }
      });
  const exchange_result ended = client.Send("a");
  CHECK(ended.end == exchange_outcome::kBroken);
  CHECK(ended.sent);
  CHECK(taken <= kMaxTaken);
}

// Guards against a caller that gets another request's answer: a server sent a
// second copy of an answer, late, on a connection that was in use again.
TEST_CASE("a second copy of an answer is not taken for the next answer") {
  const bool echoes_id = GENERATE(true, false);
  CAPTURE(echoes_id);
  std::string copy;
  peer_client client(
      [&](tcp::socket& socket, const std::string& id) -> net::awaitable<void> {
        // The copy comes when the next request is already on its way.
        if (!copy.empty()) co_await Write(socket, copy);
        copy = Answer(echoes_id ? id : "", "copy of " + id);
        co_await Write(socket, Answer(id, "for " + id));
      });
  CHECK(client.Send("a").answer.body() == "for a");
  const exchange_result second = client.Send("b");
  if (echoes_id) {
    CHECK(second.answer.body() == "for b");
  } else {
    // Nobody can tell whose answer it is, so nobody gets it.
    CHECK(second.end == exchange_outcome::kBroken);
    CHECK(second.sent);
  }
  copy.clear();
  CHECK(client.Send("c").answer.body() == "for c");
  CHECK(client.Connections() == 2);
}

TEST_CASE("a second copy that comes between two requests ends the connection") {
  peer_client client(
      [](tcp::socket& socket, const std::string& id) -> net::awaitable<void> {
        co_await Write(socket, Answer(id, "for " + id));
        net::steady_timer pause(socket.get_executor(), milliseconds(20));
        co_await pause.async_wait(net::use_awaitable);
        co_await Write(socket, Answer(id, "copy of " + id));
      });
  CHECK(client.Send("a").answer.body() == "for a");
  client.RunFor(milliseconds(100));
  CHECK(client.Send("b").answer.body() == "for b");
  CHECK(client.Connections() == 2);
}

// Guards against "not run" for a request that runs: a server refused a request
// as not run, got it again on the same connection, and sent a second copy of
// the refusal, which bears the same id.
TEST_CASE("a request is not sent twice on one connection") {
  std::string copy;
  peer_client client(
      [&](tcp::socket& socket, const std::string& id) -> net::awaitable<void> {
        const bool is_same_connection = !copy.empty();
        if (is_same_connection) co_await Write(socket, copy);
        co_await Write(socket, Answer(id, "refusal"));
      });
  CHECK(client.Send("a").answer.body() == "refusal");
  copy = Answer("a", "copy of refusal");
  client.Send("a");
  CHECK(client.Connections() == 2);
}

TEST_CASE("an answer without an id on a fresh connection is accepted") {
  peer_client client(
      [](tcp::socket& socket, const std::string&) -> net::awaitable<void> {
        co_await Write(socket, Answer("", "ours"));
      });
  CHECK(client.Send("a").answer.body() == "ours");
}

}  // namespace
}  // namespace fireflyspar::backend_servers
