// What many answers take together in a process is bounded, whatever servers
// send, and large answers are still read.
// clang-format off: this Asio uses std::exchange without including <utility>.
#include <utility>
// clang-format on

#include <malloc.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <random>
#include <sstream>
#include <string>

#include "../soak_seeds.h"
#include "scripted_peer.h"

namespace fireflyspar::backend_servers {
namespace {

constexpr int kAtOnce = 60;

// What this test and the read buffers take beside the answers.
constexpr std::size_t kSlackBytes = 8'000'000;

// The memory that the answers may take here.
constexpr answer_memory_options kLimits{.max_bytes = 32'000'000};

// Returns the bytes that this process has allocated.
std::size_t AllocatedBytes() {
  const struct mallinfo2 info = ::mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Notes the most that this process has allocated since the beginning.
class allocation_peak {
 public:
  void Note() { most_ = std::max(most_, AllocatedBytes()); }
  std::size_t Bytes() const { return most_ - std::min(most_, before_); }

 private:
  std::size_t before_ = AllocatedBytes();
  std::size_t most_ = 0;
};

// Guards against a process that is killed for the memory that many answers take
// together: each is within its own bounds.
TEST_CASE("many answers without end take bounded memory together") {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string filler(65'536, 'a');
  const std::string chunk = "1000\r\n" + std::string(4096, 'a') + "\r\n";
  struct endless_answer {
    std::string begin;
    std::string repeat;
  };
  const auto sent = GENERATE_COPY(
      endless_answer{head + "Content-Length: 8000000\r\n\r\n", filler},
      endless_answer{head + "\r\n", filler},
      endless_answer{head + "Transfer-Encoding: chunked\r\n\r\n", chunk},
      endless_answer{head + "Name: ", filler}, endless_answer{head, "N:\r\n"},
      endless_answer{head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                     "N:\r\n"},
      endless_answer{"", "HTTP/1.1 103 Early Hints\r\nN: v\r\n\r\n"});
  CAPTURE(sent.begin, sent.repeat.substr(0, 30));
  std::string block = sent.repeat;
  while (block.size() < filler.size()) block += sent.repeat;
  allocation_peak peak;
  peer_client client(
      [&](tcp::socket& socket, const peer_request&) -> net::awaitable<void> {
        co_await Write(socket, sent.begin);
        for (;;) {
          co_await net::async_write(socket, net::buffer(block),
                                    net::use_awaitable);
          peak.Note();
        }
      },
      kLimits);
  client.SendAtOnce(kAtOnce, [](const exchange_result&) {});
  CHECK(peak.Bytes() < kLimits.max_bytes + kSlackBytes);
  CHECK(client.Answers().UsedBytes() == 0);
}

// How an answer shows where its body ends.
enum class framing { kLength, kChunks, kClose };

net::awaitable<void> WriteBody(tcp::socket& socket, const std::string& id,
                               const std::string& body, framing how) {
  const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n";
  const std::string length = std::to_string(body.size());
  if (how == framing::kChunks) {
    co_await Write(socket, head + "Transfer-Encoding: chunked\r\n\r\n");
    constexpr std::size_t kChunk = 100'000;
    for (std::size_t at = 0; at < body.size(); at += kChunk) {
      std::ostringstream chunk;
      const std::string piece = body.substr(at, kChunk);
      chunk << std::hex << piece.size() << "\r\n" << piece << "\r\n";
      co_await Write(socket, chunk.str());
    }
    co_await Write(socket, "0\r\n\r\n");
  } else if (how == framing::kLength) {
    co_await Write(socket, head + "Content-Length: " + length + "\r\n\r\n");
    co_await Write(socket, body);
  } else {
    co_await Write(socket, head + "\r\n");
    co_await Write(socket, body);
    socket.shutdown(tcp::socket::shutdown_send);
  }
}

// Guards against large answers that are given up on because there are many.
TEST_CASE("many large answers at once are read whole in bounded memory") {
  const auto how =
      GENERATE(framing::kLength, framing::kChunks, framing::kClose);
  CAPTURE(how);
  constexpr std::size_t kBodyBytes = 4'000'000;
  std::string body(kBodyBytes, 'x');
  std::generate(body.begin(), body.end(), [n = 0]() mutable {
    return static_cast<char>('a' + ++n % 23);
  });
  allocation_peak peak;
  peer_client client(
      [&](tcp::socket& socket,
          const peer_request& request) -> net::awaitable<void> {
        co_await WriteBody(socket, request.id, body, how);
      },
      kLimits);
  int whole = 0;
  std::size_t most_used = 0;
  client.SendAtOnce(kAtOnce, [&](const exchange_result& ended) {
    if (ended.answer.body() == body) ++whole;
    peak.Note();
    most_used = std::max<std::size_t>(most_used, client.Answers().UsedBytes());
  });
  CHECK(whole == kAtOnce);
  CHECK(most_used <= client.Answers().MaxBytes());
  // The stand-in's connections hold a copy of what they write.
  CHECK(peak.Bytes() < kLimits.max_bytes + kSlackBytes + kAtOnce * kBodyBytes);
  CHECK(client.Answers().UsedBytes() == 0);
}

// Guards against a long answer that waits in vain for more room than there is.
TEST_CASE("an answer of any allowed size is read where there is least memory") {
  const auto how =
      GENERATE(framing::kLength, framing::kChunks, framing::kClose);
  const std::size_t size = GENERATE(0U, 1U, 4095U, 4096U, 20'000U, 65'536U,
                                    kMaxResponseBytes - 1, kMaxResponseBytes);
  CAPTURE(how, size);
  peer_client client(
      [&](tcp::socket& socket,
          const peer_request& request) -> net::awaitable<void> {
        co_await WriteBody(socket, request.id, std::string(size, 'x'), how);
      },
      {.max_bytes = 0});
  const exchange_result ended = client.Send("a");
  CHECK(ended.end == exchange_outcome::kAnswered);
  CHECK(ended.answer.body().size() == size);
}

// A peer whose answers to "slow" begin and never end, and take all the memory
// that there is.
net::awaitable<void> HoldOrAnswer(tcp::socket& socket,
                                  const peer_request& request,
                                  std::size_t answer_bytes) {
  if (request.target == "/slow") {
    co_await Write(socket,
                   "HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n");
    co_await Write(socket, std::string(1'000'000, 'x'));
    co_return;
  }
  co_await WriteBody(socket, request.id, std::string(answer_bytes, 'x'),
                     framing::kLength);
}

// Guards against a wait for room that has no end, and against "not run" or a
// mixed answer for what waited.
TEST_CASE("an answer that finds no room ends with its request's time") {
  peer_client client(
      [](tcp::socket& socket,
         const peer_request& request) -> net::awaitable<void> {
        co_await HoldOrAnswer(socket, request, 100'000);
      },
      {.max_bytes = 0});
  client.BeginSlow("/slow");
  client.SetDeadline(std::chrono::milliseconds(300));
  const exchange_result ended = client.Send("a");
  CHECK(ended.end == exchange_outcome::kTimedOut);
  CHECK(ended.sent);
  CHECK(ended.answer.body().empty());
}

// Guards against small answers that wait for a large one.
TEST_CASE("a small answer needs no room") {
  peer_client client(
      [](tcp::socket& socket,
         const peer_request& request) -> net::awaitable<void> {
        co_await HoldOrAnswer(socket, request, 10'000);
      },
      {.max_bytes = 0});
  client.BeginSlow("/slow");
  CHECK(client.Send("a").answer.body().size() == 10'000);
}

// Guards against a wait that goes on when its caller has gone away.
TEST_CASE("a request that is cancelled while it waits for room ends") {
  peer_client client(
      [](tcp::socket& socket,
         const peer_request& request) -> net::awaitable<void> {
        co_await HoldOrAnswer(socket, request, 100'000);
      },
      {.max_bytes = 0});
  client.BeginSlow("/slow");
  CHECK(client.SendAndCancel("a", std::chrono::milliseconds(200)).end ==
        exchange_outcome::kCancelled);
}

// Many answers that grow in steps, wait and end, in one small memory.
class growing_answers {
 public:
  growing_answers(net::io_context& loop, unsigned seed)
      : loop_(loop), random_(seed) {
    for (int i = 0; i < kAnswers; ++i) {
      net::co_spawn(loop_, Grow(),
                    [this](const std::exception_ptr&) { ++ended_; });
    }
  }

  static constexpr int kAnswers = 60;

  int Ended() const { return ended_; }
  int Refused() const { return refused_; }
  bool IsWithinLimit() const { return is_within_limit_; }
  const answer_memory& Memory() const { return memory_; }

 private:
  net::awaitable<void> Grow() {
    answer_room room(memory_, loop_.get_executor());
    const std::uint64_t most = random_() % kMaxBody;
    for (std::uint64_t bytes = 0; bytes < most;) {
      bytes = std::min(most, bytes + 1 + random_() % (kMaxBody / 4));
      const bool may_grow = co_await room.Grow(
          bytes, std::chrono::steady_clock::now() + std::chrono::minutes(1));
      if (!may_grow) ++refused_;
      Check();
      co_await net::post(loop_, net::use_awaitable);
    }
    room.Settle(random_() % (most + 1));
    Check();
    co_await net::post(loop_, net::use_awaitable);
  }

  void Check() {
    if (memory_.UsedBytes() > memory_.MaxBytes()) is_within_limit_ = false;
  }

  static constexpr std::uint64_t kMaxBody = 200'000;

  net::io_context& loop_;
  std::mt19937 random_;
  answer_memory memory_{{.max_bytes = 1'000'000, .max_body_bytes = kMaxBody}};
  int ended_ = 0;
  int refused_ = 0;
  bool is_within_limit_ = true;
};

// Guards against answers that wait for each other's room for ever, and against
// more memory than there is.
TEST_CASE("answers that grow never block each other, within the limit") {
  const tests::seed_range seeds = tests::SoakSeeds({.first = 1, .last = 200});
  for (auto seed = seeds.first; seed <= seeds.last; ++seed) {
    CAPTURE(seed);
    net::io_context loop;
    growing_answers answers(loop, static_cast<unsigned>(seed));
    loop.run();
    CHECK(answers.Ended() == growing_answers::kAnswers);
    CHECK(answers.Refused() == 0);
    CHECK(answers.IsWithinLimit());
    CHECK(answers.Memory().UsedBytes() == 0);
  }
}

}  // namespace
}  // namespace fireflyspar::backend_servers
