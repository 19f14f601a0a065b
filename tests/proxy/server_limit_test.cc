#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "notice_server.h"

namespace fireflyspar::proxy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What a server that names a limit may get in a span at most: one and a half
// times what the limit allows, and five requests.
double Allowed(double per_second, std::chrono::duration<double> span) {
  constexpr double kTolerance = 1.5;
  constexpr double kMoreRequests = 5;
  return kTolerance * per_second * span.count() + kMoreRequests;
}

// How long after the first answer with a limit the limit has to hold.
constexpr milliseconds kNoticeTime{500};

// Guards against LIMIT: a server that named a limit got as many requests as
// before, since its gate admitted by slots alone.
TEST_CASE("a server that names a limit gets no more than that") {
  notice_server server({.limit = "10.5"});
  server.OfferFor(milliseconds(2500), milliseconds(4));
  const auto holds_from = server.Arrivals().front().at + kNoticeTime;
  CHECK(static_cast<double>(server.MostArrivalsIn(seconds(1), holds_from)) <=
        Allowed(10.5, seconds(1)));
}

TEST_CASE("a gate tells routers the limit and that the server leaves") {
  notice_server server({.limit = "10.5"});
  const gate_outcome limited = server.Offer();
  REQUIRE(limited.status);
  REQUIRE(limited.status->told);
  CHECK(limited.status->told->server_id == "i-1");
  CHECK(limited.status->told->start_ms == 1);
  CHECK(limited.status->told->said.requests_per_second == 10.5);
  CHECK_FALSE(limited.status->told->said.is_leaving);
  server.Say({.leaving = "1"});
  std::this_thread::sleep_for(milliseconds(100));
  const gate_outcome leaving = server.Offer();
  REQUIRE(leaving.status);
  REQUIRE(leaving.status->told);
  CHECK(leaving.status->told->said.is_leaving);
}

// Guards against a limit that is forgotten at a restart of the gate's process:
// routers that were told it go on to hand the server more.
TEST_CASE("a restarted gate holds the limit that a router was told") {
  notice_server server({.limit = "0.5"});
  const gate_outcome before = server.Offer();
  REQUIRE(before.status);
  server.RestartGate();
  const gate_outcome after = server.Offer(before.status->told);
  CHECK(after.end == gate_outcome_kind::kNotRun);
  CHECK(after.reason == base::error_kind::kShed);
  CHECK(server.Arrivals().size() == 1);
}

TEST_CASE("what a router was told of an earlier start does not apply") {
  notice_server server({});
  const told_notices told{
      .server_id = "i-1",
      .start_ms = 0,
      .said = {.requests_per_second = 0.5, .is_leaving = true}};
  CHECK(server.Offer(told).end == gate_outcome_kind::kAnswered);
}

// Guards against DRAIN: a server that said in its answers that it leaves, and
// in no other way, got requests until its end.
TEST_CASE("a server that says in an answer that it leaves gets nothing more") {
  notice_server server({.leaving = "1"});
  CHECK(server.Offer().end == gate_outcome_kind::kAnswered);
  server.Say({});
  const gate_outcome next = server.Offer();
  CHECK(next.end == gate_outcome_kind::kNotRun);
  CHECK(next.reason == base::error_kind::kDraining);
  CHECK(server.Arrivals().size() == 1);
}

TEST_CASE(
    "a restarted gate refuses for a server that told a router it leaves") {
  notice_server server({.leaving = "1"});
  const gate_outcome before = server.Offer();
  REQUIRE(before.status);
  server.RestartGate();
  CHECK(server.Offer(before.status->told).reason ==
        base::error_kind::kDraining);
  CHECK(server.Arrivals().size() == 1);
}

TEST_CASE("a limit that can't be read changes nothing") {
  notice_server server({.limit = "many"});
  for (int i = 0; i < 5; ++i) {
    CHECK(server.Offer().end == gate_outcome_kind::kAnswered);
  }
}

}  // namespace
}  // namespace fireflyspar::proxy
