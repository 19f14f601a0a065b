#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "lab/load_generator.h"
#include "tests/callers/small_fleet.h"

namespace fireflyspar::callers {
namespace {

using nlohmann::json;

TEST_CASE("a call to any node reaches a server and returns its answer") {
  small_fleet fleet({{.id = "a"}, {.id = "b"}, {.id = "c"}});
  for (std::size_t node = 0; node < 3; ++node) {
    const auto answer =
        CallOnce(fleet.At(node).path->Bound().outside, Get("/stock/7?x=1"));
    REQUIRE(answer.result_int() == 200);
    const json body = json::parse(answer.body());
    CHECK(body["target"] == "/stock/7?x=1");
    CHECK(body["version"] == "v1");
  }
}

TEST_CASE("a path that matches no route is answered 404 and not run") {
  small_fleet fleet({{.id = "a"}});
  const auto answer =
      CallOnce(fleet.At(0).path->Bound().outside, Get("/nothing"));
  CHECK(answer.result_int() == 404);
  CHECK(answer["fireflyspar-run"] == "not-run");
}

TEST_CASE("a POST reaches the server with its body") {
  small_fleet fleet({{.id = "a"}, {.id = "b"}});
  const auto answer = CallOnce(fleet.At(0).path->Bound().outside,
                               Post("/orders", std::string(5000, 'y')));
  REQUIRE(answer.result_int() == 200);
  CHECK(json::parse(answer.body())["body_bytes"] == 5000);
}

TEST_CASE("a steady load over several connections gets only right answers") {
  small_fleet fleet({{.id = "a"}, {.id = "b"}, {.id = "c"}});
  const lab::load_result result =
      lab::RunLoad({.target = fleet.At(0).path->Bound().outside,
                    .rate = 1000,
                    .path = "/stock"});
  CHECK(result.sent == 1000);
  CHECK(result.by_status == std::map<int, std::int64_t>{{200, 1000}});
  CHECK(result.mismatched_answers == 0);
}

}  // namespace
}  // namespace fireflyspar::callers
