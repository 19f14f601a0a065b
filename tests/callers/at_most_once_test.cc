// A request with an Idempotency-Key runs at most once, even if its caller
// retries it at any node, its answer is lost or a claim holder is dead.
#include <atomic>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "lab/idempotency_key.h"
#include "tests/callers/scripted_server.h"
#include "tests/callers/small_fleet.h"

namespace fireflyspar::callers {
namespace {

using nlohmann::json;
using std::chrono::seconds;

// Three nodes that accept request ids: all know each other, and their clocks
// are a minute past their start.
struct settled_fleet {
  explicit settled_fleet(const base::address& server = {})
      : fleet({{.id = "a", .server_address = server},
               {.id = "b", .server_address = server},
               {.id = "c", .server_address = server}}) {
    // The nodes must know each other before their clocks are advanced. Until
    // then they refuse an id for another reason than its age.
    const auto all_are_settled = [&] {
      for (std::size_t node = 0; node < 3; ++node) {
        for (int call = 0; call < 20; ++call) {
          const auto late = CallWith(node, NewKey(seconds(-300)));
          if (Error(late) != "request_expired") return false;
        }
      }
      return true;
    };
    REQUIRE(Eventually(all_are_settled));
    fleet.AdvanceClock(seconds(60));
  }

  std::string NewKey(base::duration offset_from_now = {}) {
    return lab::MakeIdempotencyKey(fleet.clock() + offset_from_now,
                                   base::SystemRandom());
  }

  backend_servers::http_response CallWith(std::size_t node,
                                          const std::string& key,
                                          const std::string& body = "1") {
    auto request = Post("/orders", body);
    request.set("Idempotency-Key", key);
    return CallOnce(fleet.At(node).path->Bound().outside, request);
  }

  static std::string Error(const backend_servers::http_response& answer) {
    const json body = json::parse(answer.body(), nullptr, false);
    return body.is_object() ? body.value("error", "") : "";
  }

  std::int64_t RunCount(const std::string& key) {
    std::int64_t runs = 0;
    for (std::size_t node = 0; node < 3; ++node) {
      runs += fleet.At(node).server->RunCount(key);
    }
    return runs;
  }

  small_fleet fleet;
};

TEST_CASE("a repeated order gets the answer to the first and runs once") {
  settled_fleet settled;
  for (int round = 0; round < 10; ++round) {
    const std::string key = settled.NewKey();
    const auto first = settled.CallWith(0, key);
    REQUIRE(first.result_int() == 200);
    for (std::size_t node = 0; node < 3; ++node) {
      const auto again = settled.CallWith(node, key);
      CHECK(again.result_int() == 200);
      CHECK(again.body() == first.body());
    }
    CHECK(settled.RunCount(key) == 1);
  }
}

TEST_CASE("a different request with the same id is refused") {
  settled_fleet settled;
  const std::string key = settled.NewKey();
  REQUIRE(settled.CallWith(0, key, "1").result_int() == 200);
  const auto other = settled.CallWith(1, key, "2");
  CHECK(other.result_int() == 409);
  CHECK(settled.Error(other) == "duplicate_request");
  CHECK(settled.RunCount(key) == 1);
}

TEST_CASE("concurrent requests with one id at all nodes run once") {
  settled_fleet settled;
  const std::string key = settled.NewKey();
  std::vector<std::thread> callers;
  callers.reserve(12);
  for (std::size_t caller = 0; caller < 12; ++caller) {
    callers.emplace_back([&, caller] { settled.CallWith(caller % 3, key); });
  }
  for (std::thread& each : callers) each.join();
  CHECK(settled.RunCount(key) == 1);
}

TEST_CASE("an order whose answer was lost is not run again") {
  scripted_server server(
      [](const std::string&) { return scripted_answer{.closes = true}; });
  settled_fleet settled(server.Address());
  const std::string key = settled.NewKey();
  CHECK(settled.Error(settled.CallWith(0, key)) == "outcome_unknown");
  for (std::size_t node = 0; node < 3; ++node) {
    const auto again = settled.CallWith(node, key);
    CHECK(settled.Error(again) == "duplicate_request");
    CHECK(again["fireflyspar-run"] == "unknown");
  }
  CHECK(server.Requests() == 1);
}

TEST_CASE("an order that certainly did not run may be sent again") {
  std::atomic<bool> is_full{true};
  scripted_server server([&](const std::string&) {
    return scripted_answer{
        .bytes = is_full ? "HTTP/1.1 503 Busy\r\nfireflyspar-run: not-run\r\n"
                           "Content-Length: 0\r\n\r\n"
                         : WholeAnswer("done")};
  });
  settled_fleet settled(server.Address());
  const std::string key = settled.NewKey();
  const auto refused = settled.CallWith(0, key);
  CHECK(settled.Error(refused) == "shed");
  CHECK(refused["fireflyspar-run"] == "not-run");
  is_full = false;
  CHECK(settled.CallWith(1, key).body() == "done");
}

TEST_CASE("an id is refused when malformed, too old or from the future") {
  settled_fleet settled;
  CHECK(settled.CallWith(0, "order-7").result_int() == 400);
  CHECK(settled.CallWith(0, "order-7")["fireflyspar-run"] == "not-run");
  const auto old = settled.CallWith(0, settled.NewKey(seconds(-70)));
  CHECK(old.result_int() == 410);
  CHECK(old["fireflyspar-run"] == "unknown");
  CHECK(settled.CallWith(0, settled.NewKey(seconds(30))).result_int() == 400);
}

TEST_CASE("an order whose claim holder is dead is refused with Retry-After") {
  settled_fleet settled;
  settled.fleet.Edit([](decisions::fleet_view& view) {
    view.members[2].state = decisions::node_state::kDead;
  });
  std::set<std::string> refusals;
  REQUIRE(Eventually([&] {
    const auto answer = settled.CallWith(0, settled.NewKey());
    if (answer.result_int() != 200) {
      refusals.insert(settled.Error(answer));
      CHECK(answer["Retry-After"] == "2");
      CHECK(answer["fireflyspar-run"] == "unknown");
    }
    return !refusals.empty();
  }));
  CHECK(refusals == std::set<std::string>{"keeper_unavailable"});
}

TEST_CASE("a node that has just started refuses ids created before its start") {
  small_fleet fleet({{.id = "a"}, {.id = "b"}, {.id = "c"}});
  // Until the nodes know each other, the claim holders are unavailable. After
  // that, the id is refused because it was created before the nodes' start.
  CHECK(Eventually([&] {
    auto request = Post("/orders", "1");
    request.set("Idempotency-Key",
                lab::MakeIdempotencyKey(fleet.clock() - seconds(2),
                                        base::SystemRandom()));
    const auto answer = CallOnce(fleet.At(0).path->Bound().outside, request);
    CHECK(answer.result_int() != 200);
    CHECK(answer["fireflyspar-run"] == "unknown");
    return answer.result_int() == 410;
  }));
}

}  // namespace
}  // namespace fireflyspar::callers
