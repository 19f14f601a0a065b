// The server on a node's operators' port, over real connections.
#include "operators/http_server.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "backend_servers/blocking_client.h"
#include "tests/free_address.h"

namespace fireflyspar::operators {
namespace {

using backend_servers::blocking_answer;
using backend_servers::blocking_client;
using backend_servers::exchange_outcome;
using backend_servers::http_request;
namespace http = backend_servers::http;

constexpr std::size_t kMaxBodyBytes = 100;

http_server_options OptionsFor(const base::address& at) {
  return {.listen_address = at,
          .max_body_bytes = kMaxBodyBytes,
          .handlers = {
              {"GET", "/status",
               [](const std::string&) -> handler_response {
                 return {.body = "{}\n"};
               }},
              {"POST", "/echo",
               [](const std::string& body) -> handler_response {
                 return {.content_type = "text/plain", .body = body};
               }},
              {"GET", "/throws", [](const std::string&) -> handler_response {
                 throw std::runtime_error("a handler's own failure");
               }}}};
}

blocking_answer Ask(blocking_client& client, const base::address& at,
                    http::verb method, std::string_view path,
                    std::string body = "") {
  http_request request(method, backend_servers::ToBeast(path), 11);
  request.body() = std::move(body);
  return client.Call({.to = at, .is_idempotent = method == http::verb::get},
                     std::move(request));
}

// Asks over one connection until the server ends it. Returns the number of
// answers that were not those of the server.
int AskUntilTheEnd(const base::address& at, std::atomic<int>& answered) {
  blocking_client client({});
  int wrong = 0;
  for (;;) {
    const auto answer = Ask(client, at, http::verb::get, "/status");
    if (answer.end != exchange_outcome::kAnswered) return wrong;
    if (answer.status != 200 || answer.body != "{}\n") ++wrong;
    ++answered;
  }
}

// Guards against a node that ends by a signal of its own when it is stopped
// while monitoring reads it.
TEST_CASE("a server stops while clients call it") {
  constexpr int kRounds = 100;
  constexpr std::size_t kClients = 6;
  constexpr int kAnswersBefore = 20;
  std::atomic<int> wrong = 0;
  for (int round = 0; round < kRounds; ++round) {
    const base::address at = tests::FreeAddress();
    http_server server(OptionsFor(at));
    REQUIRE(server.Start());
    std::atomic<int> answered = 0;
    std::vector<std::jthread> clients;
    clients.reserve(kClients);
    while (clients.size() < kClients) {
      clients.emplace_back([&] { wrong += AskUntilTheEnd(at, answered); });
    }
    while (answered < kAnswersBefore) std::this_thread::yield();
    server.Stop();
  }
  CHECK(wrong == 0);
}

TEST_CASE("a handler gets the body and its answer is sent") {
  const base::address at = tests::FreeAddress();
  http_server server(OptionsFor(at));
  REQUIRE(server.Start());
  blocking_client client({});
  const auto echoed = Ask(client, at, http::verb::post, "/echo", "text");
  CHECK(echoed.status == 200);
  CHECK(echoed.body == "text");
  CHECK(Ask(client, at, http::verb::get, "/status?verbose=1").status == 200);
}

TEST_CASE("a request that no handler can serve gets its error") {
  const base::address at = tests::FreeAddress();
  http_server server(OptionsFor(at));
  REQUIRE(server.Start());
  blocking_client client({});
  CHECK(Ask(client, at, http::verb::get, "/none").status == 404);
  CHECK(Ask(client, at, http::verb::post, "/status").status == 404);
  CHECK(Ask(client, at, http::verb::get, "/throws").status == 500);
  const std::string too_long(kMaxBodyBytes + 1, 'a');
  CHECK(Ask(client, at, http::verb::post, "/echo", too_long).status == 413);
}

// Guards against a second node on an address that looks started.
TEST_CASE("a server whose address is taken does not start") {
  const base::address at = tests::FreeAddress();
  http_server first(OptionsFor(at));
  REQUIRE(first.Start());
  http_server second(OptionsFor(at));
  const auto started = second.Start();
  REQUIRE_FALSE(started);
  CHECK(started.Failure().Kind() == base::error_kind::kBadSettings);
}

}  // namespace
}  // namespace fireflyspar::operators
