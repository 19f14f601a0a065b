// A server that is cold ends when it gets many more requests than it takes
// then. These tests bring one cause of a cold server about and offer it far
// more than that, through one gate or a series of them.
#include <catch2/catch.hpp>
#include <chrono>

#include "notice_server.h"

namespace fireflyspar::proxy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What the server takes while it is cold, in requests a second.
constexpr double kColdLimit = 8;

// The most that it may get in a second: one and a half times as much, and 8.
constexpr std::int64_t kMostInASecond = 20;

// One request each 4 ms: 30 times what the server takes.
constexpr milliseconds kGap{4};

TEST_CASE("a server that starts cold gets what it takes, and not nothing") {
  notice_server server({});
  server.SetCold({.limit = kColdLimit, .cold_left = seconds(60)});
  server.RestartServer();
  server.OfferFor(milliseconds(2500), kGap);
  CHECK(server.MostArrivalsIn(seconds(1), {}) <= kMostInASecond);
  CHECK(server.Arrivals().size() >= 10);
}

// Guards against a gate that opens without the limit after a restart.
TEST_CASE("the bound holds over restarts of the gate") {
  notice_server server({});
  server.SetCold({.limit = kColdLimit, .cold_left = seconds(60)});
  server.RestartServer();
  for (int i = 0; i < 4; ++i) {
    server.OfferFor(milliseconds(400), kGap);
    server.RestartGate();
  }
  CHECK(server.MostArrivalsIn(seconds(1), {}) <= kMostInASecond);
}

TEST_CASE("a gate tells routers the limit of its cold server") {
  notice_server server({});
  server.SetCold({.limit = kColdLimit, .cold_left = seconds(60)});
  server.RestartServer();
  const gate_outcome outcome = server.Offer();
  REQUIRE(outcome.status);
  CHECK(outcome.status->load.cold_limit == kColdLimit);
}

TEST_CASE("the limit ends with the cold time") {
  notice_server server({});
  server.SetCold({.limit = kColdLimit, .cold_left = milliseconds(300)});
  server.RestartServer();
  server.RunFor(milliseconds(400));
  server.OfferFor(milliseconds(400), kGap);
  CHECK(server.Arrivals().size() > kMostInASecond);
}

TEST_CASE("a service without a limit for cold servers has none") {
  notice_server server({});
  server.SetCold({.cold_left = seconds(60)});
  server.RestartServer();
  server.OfferFor(milliseconds(400), kGap);
  CHECK(server.Arrivals().size() > kMostInASecond);
  CHECK(server.Offer().status->load.cold_limit == 0);
}

// Guards against a server that comes back under its id and gets the full rate
// until its first report: it is cold from its start.
TEST_CASE("a server that came back unreported is treated as cold") {
  notice_server server({.cold_ms = "60000"});
  server.SetCold({.limit = kColdLimit});
  server.RestartServer();
  REQUIRE(server.Offer().end == gate_outcome_kind::kAnswered);
  server.EndServer();
  REQUIRE(server.Offer().end != gate_outcome_kind::kAnswered);
  server.StartUnreported();
  server.OfferFor(milliseconds(1500), kGap);
  CHECK(server.MostArrivalsIn(seconds(1), {}) <= kMostInASecond);
}

// Guards against a rush onto servers that became cold during the evacuation: a
// report from before, which arrives late, says that they are warm.
TEST_CASE("the end of an evacuation waits for the server's own word") {
  const std::string cold_ms = GENERATE("60000", "0");
  notice_server server({.cold_ms = cold_ms});
  server.SetCold({.limit = kColdLimit});
  server.RestartServer();
  server.Gate().SetEvacuated(true);
  CHECK(server.Offer().reason == base::error_kind::kNoServer);
  server.Gate().SetEvacuated(false);
  server.Report();
  server.OfferFor(milliseconds(1500), kGap);
  if (cold_ms == "0") {
    CHECK(server.Arrivals().size() > 2 * kMostInASecond);
  } else {
    CHECK(server.MostArrivalsIn(seconds(1), {}) <= kMostInASecond);
    CHECK(server.Arrivals().size() >= 5);
  }
}

// Guards against requests that were queued before the evacuation and run after
// its bound.
TEST_CASE("an evacuation refuses the requests in the queue as not run") {
  notice_server server({.limit = "0.5"});
  REQUIRE(server.Offer().end == gate_outcome_kind::kAnswered);
  call_offer offer = notice_server::MakeOffer();
  offer.wait_limit = offer.left = offer.time_to_objective = seconds(30);
  std::optional<gate_outcome> ended;
  server.BeginOffer(offer, "queued",
                    [&](gate_outcome outcome) { ended = std::move(outcome); });
  server.RunFor(milliseconds(50));
  REQUIRE_FALSE(ended);
  server.Gate().SetEvacuated(true);
  server.RunFor(milliseconds(50));
  REQUIRE(ended);
  CHECK(ended->end == gate_outcome_kind::kNotRun);
  CHECK(server.Arrivals().size() == 1);
}

}  // namespace
}  // namespace fireflyspar::proxy
