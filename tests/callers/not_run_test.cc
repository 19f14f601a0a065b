// "Not run" is reported only for a request that did not run, and a request that
// must not be repeated is never sent twice.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "tests/callers/scripted_server.h"
#include "tests/callers/small_fleet.h"
#include "tests/free_address.h"

namespace fireflyspar::callers {
namespace {

using nlohmann::json;

std::string Error(const backend_servers::http_response& answer) {
  return json::parse(answer.body())["error"];
}

TEST_CASE("a request to an unreachable server is reported as not run") {
  small_fleet fleet({{.id = "a", .server_address = tests::FreeAddress()}});
  const auto answer =
      CallOnce(fleet.At(0).path->Bound().outside, Post("/orders", "1"));
  CHECK(answer.result_int() == 503);
  CHECK(answer["fireflyspar-run"] == "not-run");
  CHECK(answer["Retry-After"] == "2");
}

TEST_CASE("a request whose connection breaks is sent once, outcome unknown") {
  scripted_server server(
      [](const std::string&) { return scripted_answer{.closes = true}; });
  small_fleet fleet({{.id = "a", .server_address = server.Address()},
                     {.id = "b", .server_address = server.Address()}});
  const auto answer =
      CallOnce(fleet.At(0).path->Bound().outside, Post("/orders", "1"));
  CHECK(answer.result_int() == 502);
  CHECK(Error(answer) == "outcome_unknown");
  CHECK(answer["fireflyspar-run"] == "unknown");
  CHECK(answer["Retry-After"] == "");
  CHECK(server.Requests() == 1);
}

TEST_CASE("a closed connection is retried if the request may be repeated") {
  scripted_server server(
      [](const std::string&) { return scripted_answer{.closes = true}; });
  small_fleet fleet({{.id = "a", .server_address = server.Address()},
                     {.id = "b", .server_address = server.Address()}});
  const auto answer =
      CallOnce(fleet.At(0).path->Bound().outside, Get("/stock"));
  CHECK(Error(answer) == "server_failed");
  CHECK(server.Requests() == 2);
}

TEST_CASE("a request that is marked as a retry is not retried") {
  scripted_server server(
      [](const std::string&) { return scripted_answer{.closes = true}; });
  small_fleet fleet({{.id = "a", .server_address = server.Address()},
                     {.id = "b", .server_address = server.Address()}});
  auto request = Get("/stock");
  request.set("fireflyspar-attempt", "1");
  CallOnce(fleet.At(0).path->Bound().inside, request);
  CHECK(server.Requests() == 1);
}

TEST_CASE("a server's own not-run refusal is passed on as not run") {
  scripted_server server([](const std::string&) {
    return scripted_answer{
        .bytes =
            "HTTP/1.1 503 Busy\r\nfireflyspar-run: not-run\r\n"
            "Content-Length: 0\r\n\r\n"};
  });
  small_fleet fleet({{.id = "a", .server_address = server.Address()}});
  const auto answer =
      CallOnce(fleet.At(0).path->Bound().outside, Post("/orders", "1"));
  CHECK(Error(answer) == "shed");
  CHECK(answer["fireflyspar-run"] == "not-run");
}

TEST_CASE("a 503 without not-run is passed on to the caller, not retried") {
  scripted_server server([](const std::string&) {
    return scripted_answer{
        .bytes = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"};
  });
  small_fleet fleet({{.id = "a", .server_address = server.Address()},
                     {.id = "b", .server_address = server.Address()}});
  const auto answer =
      CallOnce(fleet.At(0).path->Bound().outside, Post("/orders", "1"));
  CHECK(answer.result_int() == 503);
  CHECK(answer["fireflyspar-run"] == "");
  CHECK(server.Requests() == 1);
}

TEST_CASE("a draining server gets no new request and refuses as not run") {
  small_fleet fleet({{.id = "a"}, {.id = "b"}});
  const base::address outside = fleet.At(0).path->Bound().outside;
  fleet.At(1).gate->Drain();
  for (int call = 0; call < 20; ++call) {
    CHECK(CallOnce(outside, Get("/stock")).result_int() == 200);
  }
  CHECK(fleet.At(1).server->Runs().total == 0);
  // A view that is out of date still shows the draining server as serving. Its
  // gate refuses the request.
  fleet.Edit([](decisions::fleet_view& view) {
    view.members[0].server.state = decisions::server_state::kAbsent;
    view.members[1].server.state = decisions::server_state::kServing;
  });
  const auto answer = CallOnce(outside, Post("/orders", "1"));
  CHECK(Error(answer) == "draining");
  CHECK(answer["fireflyspar-run"] == "not-run");
  CHECK(fleet.At(1).server->Runs().total == 0);
}

TEST_CASE("finishing cuts no request") {
  small_fleet fleet({{.id = "a",
                      .server = {.service = "stock",
                                 .work = std::chrono::milliseconds(150)}}});
  const base::address outside = fleet.At(0).path->Bound().outside;
  std::atomic<int> good{0};
  std::vector<std::thread> callers;
  callers.reserve(4);
  for (int caller = 0; caller < 4; ++caller) {
    callers.emplace_back([&] {
      if (CallOnce(outside, Get("/stock")).result_int() == 200) ++good;
    });
  }
  REQUIRE(Eventually([&] { return fleet.At(0).gate->InFlight() == 4; }));
  CHECK(fleet.At(0).path->Finish(std::chrono::seconds(20)));
  for (std::thread& each : callers) each.join();
  CHECK(good == 4);
}

TEST_CASE("a call over the service's rate limit is refused as not run") {
  config::preset preset = SmallPreset();
  preset.services[0].max_calls_per_second = 3;
  small_fleet fleet({{.id = "a"}}, preset);
  fleet.clock = [] { return base::instant(std::chrono::hours(1)); };
  const base::address outside = fleet.At(0).path->Bound().outside;
  for (int call = 0; call < 3; ++call) {
    CHECK(CallOnce(outside, Get("/stock")).result_int() == 200);
  }
  const auto over = CallOnce(outside, Get("/stock"));
  CHECK(over.result_int() == 429);
  CHECK(Error(over) == "service_over_limit");
  CHECK(over["Retry-After"] == "1");
  CHECK(over["fireflyspar-run"] == "not-run");
}

TEST_CASE("the limit on one caller's calls in flight spares other callers") {
  config::preset preset = SmallPreset();
  preset.services[0].max_in_flight_per_caller = 1;
  scripted_server server([](const std::string& request) {
    const bool waits = request.find("/stock/wait") != std::string::npos;
    return scripted_answer{.bytes = waits ? kNoResponse : WholeAnswer("ok")};
  });
  small_fleet fleet({{.id = "a", .server_address = server.Address()}}, preset);
  const base::address inside = fleet.At(0).path->Bound().inside;
  const auto with_caller = [](backend_servers::http_request request,
                              const char* caller_name) {
    request.set("fireflyspar-caller", caller_name);
    return request;
  };
  boost::asio::io_context loop;
  boost::asio::ip::tcp::socket waiting(loop);
  waiting.connect(backend_servers::ToEndpoint(inside));
  boost::beast::http::write(waiting, with_caller(Get("/stock/wait"), "clerk"));
  REQUIRE(Eventually([&] { return server.Requests() == 1; }));
  CHECK(Error(CallOnce(inside, with_caller(Get("/stock"), "clerk"))) ==
        "caller_over_limit");
  CHECK(CallOnce(inside, with_caller(Get("/stock"), "depot")).result_int() ==
        200);
}

}  // namespace
}  // namespace fireflyspar::callers
