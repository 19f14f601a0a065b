// Servers that send bytes without end, or a second copy of an answer.
#include "scripted_peer.h"

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <set>
#include <string>

namespace fireflyspar::backend_servers {
namespace {

using std::chrono::milliseconds;

std::string Answer(const std::string& id, const std::string& body) {
  const std::string echo = id.empty() ? "" : "Request-Id: " + id + "\r\n";
  return "HTTP/1.1 200 OK\r\n" + echo +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
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
      [&](tcp::socket& socket, const peer_request&) -> net::awaitable<void> {
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
  peer_client client([&](tcp::socket& socket,
                         const peer_request& request) -> net::awaitable<void> {
    // The copy comes when the next request is already on its way.
    if (!copy.empty()) co_await Write(socket, copy);
    copy = Answer(echoes_id ? request.id : "", "copy of " + request.id);
    co_await Write(socket, Answer(request.id, "for " + request.id));
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
  peer_client client([](tcp::socket& socket,
                        const peer_request& request) -> net::awaitable<void> {
    co_await Write(socket, Answer(request.id, "for " + request.id));
    net::steady_timer pause(socket.get_executor(), milliseconds(20));
    co_await pause.async_wait(net::use_awaitable);
    co_await Write(socket, Answer(request.id, "copy of " + request.id));
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
  peer_client client([&](tcp::socket& socket,
                         const peer_request& request) -> net::awaitable<void> {
    const bool is_same_connection = !copy.empty();
    if (is_same_connection) co_await Write(socket, copy);
    co_await Write(socket, Answer(request.id, "refusal"));
  });
  CHECK(client.Send("a").answer.body() == "refusal");
  copy = Answer("a", "copy of refusal");
  client.Send("a");
  CHECK(client.Connections() == 2);
}

// Guards against "not run" for a request that runs: as above, with other
// requests on the connection between the two runs.
TEST_CASE("a request does not return to a connection that carried it before") {
  const int others = GENERATE(1, 2, 7);
  CAPTURE(others);
  std::map<const tcp::socket*, std::set<std::string>> carried;
  peer_client client([&](tcp::socket& socket,
                         const peer_request& request) -> net::awaitable<void> {
    const bool is_new = carried[&socket].insert(request.id).second;
    if (!is_new) co_await Write(socket, Answer(request.id, "old refusal"));
    co_await Write(socket, Answer(request.id, "for " + request.id));
  });
  client.Send("a");
  for (int other = 0; other < others; ++other) {
    client.Send("b" + std::to_string(other));
  }
  CHECK(client.Connections() == 1);
  CHECK(client.Send("a").answer.body() == "for a");
  CHECK(client.Connections() == 2);
}

// Guards against a new connection for each refusal: they cost a server that is
// in trouble time, and are bounded in number.
TEST_CASE(
    "a request that was refused comes back on a connection that is open") {
  peer_client client([](tcp::socket& socket,
                        const peer_request& request) -> net::awaitable<void> {
    co_await Write(socket, Answer(request.id, "refusal"));
  });
  constexpr int kRequests = 200;
  for (int sent = 0; sent < kRequests; ++sent) {
    const std::string id = "a" + std::to_string(sent);
    client.Send(id);
    client.Send(id);
  }
  CHECK(client.Connections() == 2);
}

// Guards against ids that take ever more memory on a connection that is never
// closed.
TEST_CASE("a connection is closed after a bounded number of requests") {
  peer_client client([](tcp::socket& socket,
                        const peer_request& request) -> net::awaitable<void> {
    co_await Write(socket, Answer(request.id, ""));
  });
  constexpr int kRequests = 3 * sent_requests::kMaxRequests;
  for (int sent = 0; sent < kRequests; ++sent) {
    client.Send("a" + std::to_string(sent));
  }
  CHECK(client.Connections() == 3);
}

// Guards against another request's answer: one without the id may be a copy.
TEST_CASE("a connection with an answer that names no request is not kept") {
  peer_client client(
      [](tcp::socket& socket, const peer_request&) -> net::awaitable<void> {
        co_await Write(socket, Answer("", "ours"));
      });
  CHECK(client.Send("a").answer.body() == "ours");
  CHECK(client.Send("b").answer.body() == "ours");
  CHECK(client.Connections() == 2);
}

// Guards against another request's answer: nobody can tell one that has no id
// from those to others on the same connection.
TEST_CASE("a request without an id shares no connection") {
  peer_client client([](tcp::socket& socket,
                        const peer_request& request) -> net::awaitable<void> {
    co_await Write(socket, Answer(request.id, "for " + request.id));
  });
  client.Send("a");
  client.Send("");
  client.Send("b");
  CHECK(client.Connections() == 2);
}

// Guards against an upload that is called refused, or sent without having been
// asked for: an answer to an earlier request comes where "100 Continue" is due.
TEST_CASE("a late answer does not stand in for 100 Continue") {
  std::string copy;
  peer_client client([&](tcp::socket& socket,
                         const peer_request& request) -> net::awaitable<void> {
    if (request.expects_continue) {
      co_await Write(socket, copy + "HTTP/1.1 103 Early Hints\r\n\r\n");
      co_await Write(socket, "HTTP/1.1 100 Continue\r\n\r\n");
      std::string body(4, '\0');
      co_await net::async_read(socket, net::buffer(body), net::use_awaitable);
    }
    copy = Answer(request.id, "copy of " + request.id);
    co_await Write(socket, Answer(request.id, "for " + request.id));
  });
  client.Send("a");
  CHECK(client.Upload("b", "body").answer.body() == "for b");
  CHECK(client.Connections() == 1);
}

TEST_CASE("an answer without an id on a fresh connection is accepted") {
  peer_client client(
      [](tcp::socket& socket, const peer_request&) -> net::awaitable<void> {
        co_await Write(socket, Answer("", "ours"));
      });
  CHECK(client.Send("a").answer.body() == "ours");
}

// How a connection ends.
enum class connection_end { kClosed, kReset };

void EndConnection(tcp::socket& socket, connection_end how) {
  const bool resets = how == connection_end::kReset;
  socket.set_option(net::socket_base::linger(resets, 0));
  socket.close();
}

// Returns what becomes of a request whose answer is cut off after `length`
// bytes, on a new connection or on one that has carried another request.
exchange_result SendAndCut(const std::string& answer, std::size_t length,
                           connection_end how, bool is_kept, bool from_proxy) {
  peer_client client([&](tcp::socket& socket,
                         const peer_request& request) -> net::awaitable<void> {
    if (request.id == "earlier") {
      co_await Write(socket, Answer(request.id, "whole"));
      co_return;
    }
    co_await Write(socket, answer.substr(0, length));
    EndConnection(socket, how);
  });
  if (from_proxy) client.ExpectProxy();
  if (is_kept) client.Send("earlier");
  return client.Send("a");
}

// Guards against an answer that looks whole and is not: its server or another
// proxy ended while it sent it, after any byte of the head or the body.
TEST_CASE("an answer that is cut off is no answer") {
  const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n";
  const std::string with_length =
      head + "Content-Length: 12\r\n\r\nthe body....";
  const std::string chunked =
      head + "Transfer-Encoding: chunked\r\n\r\n3\r\nthe\r\n0\r\n\r\n";
  const std::string after_interim =
      "HTTP/1.1 103 Early Hints\r\nLink: b\r\n\r\n" + with_length;
  const auto answer = GENERATE_COPY(with_length, chunked, after_interim);
  const auto how = GENERATE(connection_end::kClosed, connection_end::kReset);
  const bool is_kept = GENERATE(false, true);
  const bool from_proxy = GENERATE(false, true);
  for (std::size_t length = 0; length < answer.size(); ++length) {
    CAPTURE(answer, length, how, is_kept, from_proxy);
    const auto ended = SendAndCut(answer, length, how, is_kept, from_proxy);
    CHECK(ended.end == exchange_outcome::kBroken);
    CHECK(ended.sent);
    CHECK(ended.answer.body().empty());
  }
}

// The same for an answer that ends with its connection. Once its head is whole,
// only a reset shows that the rest is missing; another proxy never sends one.
TEST_CASE("an answer without a length is whole only when it was closed") {
  const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n";
  const std::string answer = head + "the body";
  const bool is_kept = GENERATE(false, true);
  const bool from_proxy = GENERATE(false, true);
  for (std::size_t length = 0; length <= answer.size(); ++length) {
    CAPTURE(length, is_kept, from_proxy);
    const auto reset =
        SendAndCut(answer, length, connection_end::kReset, is_kept, from_proxy);
    CHECK(reset.end == exchange_outcome::kBroken);
    const auto closed = SendAndCut(answer, length, connection_end::kClosed,
                                   is_kept, from_proxy);
    const bool may_be_whole = length >= head.size() && !from_proxy;
    CHECK((closed.end == exchange_outcome::kAnswered) == may_be_whole);
  }
}

}  // namespace
}  // namespace fireflyspar::backend_servers
