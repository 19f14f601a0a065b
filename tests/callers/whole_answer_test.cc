// Every caller gets the whole answer to its own request, or a clear refusal.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "tests/callers/scripted_server.h"
#include "tests/callers/small_fleet.h"

namespace fireflyspar::callers {
namespace {

using nlohmann::json;

// Node "a" receives the calls and the server is beside node "b", so that each
// call takes two hops.
struct two_hops {
  explicit two_hops(scripted_server::script answers,
                    config::preset preset = SmallPreset())
      : server(std::move(answers)),
        fleet({{.id = "a", .server = {.service = "none"}},
               {.id = "b",
                .server = {.service = "stock"},
                .server_address = server.Address()}},
              std::move(preset)) {}

  base::address Outside() { return fleet.At(0).path->Bound().outside; }

  scripted_server server;
  small_fleet fleet;
};

config::preset WithoutRetries() {
  config::preset preset = SmallPreset();
  preset.services[0].retries.max_attempts = 1;
  return preset;
}

TEST_CASE("an answer cut short by its server never reaches the caller") {
  const std::string whole = WholeAnswer(std::string(100, 'x'));
  two_hops path(
      [&whole](const std::string&) {
        return scripted_answer{.bytes = whole.substr(0, whole.size() - 1),
                               .closes = true};
      },
      WithoutRetries());
  const auto answer = CallOnce(path.Outside(), Get("/stock"));
  CHECK(answer.result_int() == 502);
  CHECK(json::parse(answer.body())["error"] == "server_failed");
  CHECK(answer["fireflyspar-run"] == "unknown");
}

TEST_CASE("an answer that ends only with its connection is rejected") {
  two_hops path(
      [](const std::string&) {
        return scripted_answer{.bytes = "HTTP/1.1 200 OK\r\n\r\nhalf of it",
                               .closes = true};
      },
      WithoutRetries());
  CHECK(CallOnce(path.Outside(), Get("/stock")).result_int() == 502);
}

TEST_CASE("a chunked answer is passed on whole, a truncated one is not") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string chunks = "3\r\nabc\r\n4\r\ndefg\r\n";
  two_hops path(
      [&](const std::string& request) {
        const bool cut = request.find("/stock/cut") != std::string::npos;
        return scripted_answer{
            .bytes = head + chunks + (cut ? "" : "0\r\n\r\n"), .closes = cut};
      },
      WithoutRetries());
  CHECK(CallOnce(path.Outside(), Get("/stock")).body() == "abcdefg");
  CHECK(CallOnce(path.Outside(), Get("/stock/cut")).result_int() == 502);
}

TEST_CASE("a HEAD answer keeps its length and has no body; 204 has none") {
  two_hops path([](const std::string& request) {
    if (request.starts_with("HEAD")) {
      return scripted_answer{
          .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n"};
    }
    return scripted_answer{.bytes = "HTTP/1.1 204 No Content\r\n\r\n"};
  });
  backend_servers::http_request head = Get("/stock");
  head.method(boost::beast::http::verb::head);
  for (int round = 0; round < 3; ++round) {
    const auto answer = CallOnce(path.Outside(), head);
    CHECK(answer.result_int() == 200);
    CHECK(answer["Content-Length"] == "1234");
    CHECK(CallOnce(path.Outside(), Get("/stock")).result_int() == 204);
  }
}

TEST_CASE("a late answer is never returned to the next request") {
  // The first answer arrives after its call has timed out. If the connection
  // were used again, the second caller would get that answer.
  std::atomic<int> request_count{0};
  config::preset preset = WithoutRetries();
  two_hops path(
      [&request_count](const std::string&) {
        if (++request_count == 1) {
          std::this_thread::sleep_for(std::chrono::milliseconds(300));
          return scripted_answer{.bytes = WholeAnswer("late")};
        }
        return scripted_answer{.bytes = WholeAnswer("own")};
      },
      preset);
  auto short_deadline = Get("/stock");
  short_deadline.set("fireflyspar-deadline-ms", "100");
  const auto first = CallOnce(path.Outside(), short_deadline);
  CHECK(first.result_int() == 502);
  CHECK(first["fireflyspar-run"] == "unknown");
  for (int call = 0; call < 5; ++call) {
    CHECK(CallOnce(path.Outside(), Get("/stock")).body() == "own");
  }
}

TEST_CASE("a connection with bytes after an answer is not used again") {
  two_hops path([](const std::string&) {
    return scripted_answer{.bytes = WholeAnswer("own") + WholeAnswer("stray")};
  });
  for (int call = 0; call < 6; ++call) {
    CHECK(CallOnce(path.Outside(), Get("/stock")).body() == "own");
  }
}

TEST_CASE("an answer with another exchange's id is rejected") {
  // Stands in for a gate that mixes up its answers.
  scripted_server gate([](const std::string&) {
    return scripted_answer{.bytes =
                               "HTTP/1.1 200 OK\r\nfireflyspar-exchange: 1\r\n"
                               "Content-Length: 5\r\n\r\nother"};
  });
  small_fleet fleet({{.id = "a", .server = {.service = "none"}}},
                    WithoutRetries());
  fleet.Edit([&](decisions::fleet_view& view) {
    view.members.push_back(
        {.node_id = "b",
         .data_centre = "north",
         .gate_address = gate.Address(),
         .server = {.service = "stock",
                    .version = "v1",
                    .slots = 6,
                    .state = decisions::server_state::kServing}});
  });
  const auto answer =
      CallOnce(fleet.At(0).path->Bound().outside, Get("/stock"));
  CHECK(answer.result_int() == 502);
}

TEST_CASE("a caller's disconnect cancels the work at the server") {
  two_hops path(
      [](const std::string&) { return scripted_answer{.bytes = kNoResponse}; });
  {
    boost::asio::io_context loop;
    boost::asio::ip::tcp::socket caller(loop);
    caller.connect(backend_servers::ToEndpoint(path.Outside()));
    boost::beast::http::write(caller, Get("/stock"));
    REQUIRE(Eventually([&] { return path.server.Requests() == 1; }));
    CHECK(path.fleet.At(1).gate->InFlight() == 1);
  }
  CHECK(Eventually([&] { return path.server.Abandoned() == 1; }));
  CHECK(Eventually([&] { return path.fleet.At(1).gate->InFlight() == 0; }));
}

TEST_CASE("the time left shrinks at each hop and is limited by the route") {
  std::mutex mutex;
  std::string last_request;
  config::preset preset = SmallPreset();
  preset.routes[0].timeout = std::chrono::milliseconds(5000);
  two_hops path(
      [&](const std::string& request) {
        const std::lock_guard lock(mutex);
        last_request = request;
        return scripted_answer{.bytes = WholeAnswer("ok")};
      },
      preset);
  const auto left_at_server = [&](const char* requested_ms) {
    auto request = Get("/stock");
    if (requested_ms != nullptr) {
      request.set("fireflyspar-deadline-ms", requested_ms);
    }
    CHECK(CallOnce(path.Outside(), request).result_int() == 200);
    const std::lock_guard lock(mutex);
    const std::string name = "fireflyspar-deadline-ms: ";
    return std::stoi(
        last_request.substr(last_request.find(name) + name.size()));
  };
  CHECK(left_at_server("3000") < 3000);
  CHECK(left_at_server("3000") > 0);
  CHECK(left_at_server("900000") < 5000);
  CHECK(left_at_server(nullptr) < 5000);
}

TEST_CASE("a call whose deadline has passed is refused as not run") {
  two_hops path([](const std::string&) {
    return scripted_answer{.bytes = WholeAnswer("ok")};
  });
  auto request = Get("/stock");
  request.set("fireflyspar-deadline-ms", "0");
  const auto answer = CallOnce(path.Outside(), request);
  CHECK(answer.result_int() == 504);
  CHECK(answer["fireflyspar-run"] == "not-run");
  CHECK(path.server.Requests() == 0);
}

}  // namespace
}  // namespace fireflyspar::callers
