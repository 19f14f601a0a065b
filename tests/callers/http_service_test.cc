// The end of a server that has its own threads.
#include "callers/http_service.h"

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <thread>

#include "backend_servers/blocking_client.h"
#include "tests/free_address.h"

namespace fireflyspar::callers {
namespace {

using backend_servers::blocking_answer;
using backend_servers::blocking_client;
using backend_servers::exchange_outcome;
using backend_servers::http_request;
using backend_servers::http_response;
namespace http = backend_servers::http;

// A service whose handler first waits until `wait` ends.
struct waiting_service {
  base::address at = tests::FreeAddress();
  std::atomic<int> begun = 0;
  http_service tested;

  waiting_service(std::chrono::milliseconds wait,
                  std::chrono::milliseconds stop_limit)
      : tested({.listener = {.address = at,
                             .handler =
                                 [this, wait](incoming_request& call) {
                                   return Answer(call, wait);
                                 }},
                .stop_limit = stop_limit}) {
    REQUIRE(tested.Start());
  }

  net::awaitable<http_response> Answer(incoming_request& call,
                                       std::chrono::milliseconds wait) {
    ++begun;
    net::steady_timer timer(call.assigned_worker->loop, wait);
    co_await timer.async_wait(net::use_awaitable);
    co_return http_response(http::status::ok, 11);
  }

  // Calls the service, and stops it when the call is in its handler.
  blocking_answer CallAndStop() {
    blocking_client client({});
    const std::jthread stopper([this] {
      while (begun == 0) std::this_thread::yield();
      tested.Stop();
    });
    return client.Call({.to = at}, http_request(http::verb::get, "/", 11));
  }
};

TEST_CASE("a service that stops first answers what it has begun") {
  waiting_service f(std::chrono::milliseconds{50}, std::chrono::minutes{1});
  const auto answer = f.CallAndStop();
  CHECK(answer.end == exchange_outcome::kAnswered);
  CHECK(answer.status == 200);
}

// Guards against a process that can't end because one request doesn't.
TEST_CASE("a service ends its connections when its time to stop is over") {
  waiting_service f(std::chrono::hours{1}, std::chrono::milliseconds{20});
  CHECK(f.CallAndStop().end == exchange_outcome::kBroken);
}

// Guards against callers that wait for a server that has stopped listening.
TEST_CASE("a stopped service refuses connections") {
  waiting_service f(std::chrono::milliseconds{0}, std::chrono::minutes{1});
  f.tested.Stop();
  blocking_client client({});
  const auto answer =
      client.Call({.to = f.at}, http_request(http::verb::get, "/", 11));
  CHECK(answer.end == exchange_outcome::kBroken);
  CHECK_FALSE(answer.sent);
}

}  // namespace
}  // namespace fireflyspar::callers
