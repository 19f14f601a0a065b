#include "proxy/listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

#include "../free_address.h"

namespace fireflyspar::proxy {
namespace {

using backend_servers::tcp;
using std::chrono::milliseconds;

// A listener and one connection to it.
struct listener_fixture {
  explicit listener_fixture(call_handler handler)
      : tested(loop.get_executor(),
               {.address = address,
                .handler = std::move(handler),
                .on_error = [this](std::string_view) { ++errors; }}) {
    REQUIRE(tested.Start());
    client.connect(backend_servers::ToEndpoint(address));
  }
  ~listener_fixture() {
    tested.Close();
    client.close();
    loop.restart();
    loop.run_for(milliseconds(500));
  }
  listener_fixture(const listener_fixture&) = delete;
  listener_fixture& operator=(const listener_fixture&) = delete;

  void Send() {
    const std::string request = "GET /p HTTP/1.1\r\nHost: a\r\n\r\n";
    net::write(client, net::buffer(request));
  }

  // Reads the head of an answer while the listener works.
  std::string ReadHead() {
    std::string received;
    bool has_ended = false;
    const auto read = [&]() -> net::awaitable<void> {
      co_await net::async_read_until(client, net::dynamic_buffer(received),
                                     "\r\n\r\n", net::use_awaitable);
    };
    net::co_spawn(loop, read,
                  [&](const std::exception_ptr&) { has_ended = true; });
    loop.restart();
    while (!has_ended) loop.run_one();
    return received.substr(0, received.find("\r\n"));
  }

  void RunFor(milliseconds span) {
    loop.restart();
    loop.run_for(span);
  }

  net::io_context loop;
  base::address address = tests::FreeAddress();
  int errors = 0;
  listener tested;
  tcp::socket client{loop};
};

net::awaitable<backend_servers::http_response> AnswerWith(std::size_t bytes) {
  backend_servers::http_response answer(backend_servers::http::status::ok, 11);
  answer.body() = std::string(bytes, 'x');
  answer.prepare_payload();
  co_return answer;
}

// Guards against an answer that is cut off by a planned stop: its request has
// run, and the process ends while the answer is being written.
TEST_CASE("a request is active until its answer is written") {
  constexpr std::size_t kMoreThanBuffers = 64'000'000;
  listener_fixture fixture(
      [](served_call&) { return AnswerWith(kMoreThanBuffers); });
  fixture.Send();
  fixture.RunFor(milliseconds(200));
  CHECK(fixture.tested.ActiveRequests() == 1);
}

// Guards against a process that is killed for the memory of answers that their
// callers are slow to read.
TEST_CASE("an answer holds its room until its caller has read it") {
  constexpr std::size_t kMoreThanBuffers = 8'000'000;
  std::optional<backend_servers::answer_memory> memory;
  listener_fixture fixture(
      [&](served_call&) -> net::awaitable<backend_servers::http_response> {
        auto answer = co_await AnswerWith(kMoreThanBuffers);
        answer.room = std::make_unique<backend_servers::answer_room>(
            *memory, co_await net::this_coro::executor);
        co_await answer.room->Grow(
            kMoreThanBuffers, std::chrono::steady_clock::time_point::max());
        co_return answer;
      });
  memory.emplace(backend_servers::answer_memory_options{});
  fixture.Send();
  fixture.RunFor(milliseconds(200));
  CHECK(memory->UsedBytes() >= kMoreThanBuffers);
  fixture.client.close();
  fixture.RunFor(milliseconds(200));
  CHECK(memory->UsedBytes() == 0);
}

// Guards against requests that are cut off during a planned stop: callers go on
// using the connections that they have until the process is gone.
TEST_CASE("a request on an open connection is answered during a stop") {
  listener_fixture fixture([](served_call&) { return AnswerWith(1); });
  fixture.Send();
  CHECK(fixture.ReadHead() == "HTTP/1.1 200 OK");
  fixture.tested.DisableKeepAlive();
  fixture.Send();
  CHECK(fixture.ReadHead() == "HTTP/1.1 200 OK");
  fixture.RunFor(milliseconds(50));
  CHECK(fixture.tested.ActiveRequests() == 0);
}

// Guards against a process that one unexpected error takes down, and against a
// caller that is told "not run" after it.
TEST_CASE("a handler that throws costs only its own request") {
  bool throws = true;
  listener_fixture fixture([&](served_call&) {
    if (throws) throw std::runtime_error("broken");
    return AnswerWith(1);
  });
  fixture.Send();
  CHECK(fixture.ReadHead() == "HTTP/1.1 500 Internal Server Error");
  CHECK(fixture.errors == 1);
  throws = false;
  fixture.Send();
  CHECK(fixture.ReadHead() == "HTTP/1.1 200 OK");
}

}  // namespace
}  // namespace fireflyspar::proxy
