// Tests that no answer is cut short or mixed up and that no order is run twice
// while backend servers and nodes shut down, are killed and fail. The stand-in
// servers count the runs of each request id; the load generator counts answers
// that were cut short or belong to another call.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <string>

#include "base/hooks.h"
#include "lab/idempotency_key.h"
#include "lab/load_generator.h"
#include "small_deployment.h"

namespace fireflyspar::tests {
namespace {

using lab::deployment;
using lab::instance;
using std::chrono::milliseconds;

std::future<lab::load_result> StartLoad(const instance& at, double rate,
                                        milliseconds duration) {
  const lab::load_options load{.target = at.AddressWithPort(lab::kOutsidePort),
                               .rate = rate,
                               .duration = duration,
                               .path = "/equipment/17"};
  return std::async(std::launch::async, [load] { return lab::RunLoad(load); });
}

// Equipment history runs on the first three instances. The last three run the
// other service, and their nodes stay up.
TEST_CASE("a node that is told to end cuts no request on its way") {
  const auto fleet = StartSmallDeployment(31, {"--work-ms", "50"});
  auto load = StartLoad(*fleet->Instances()[4], 60, milliseconds{4000});
  REQUIRE(deployment::WaitFor([&] { return CountRuns(*fleet).requests >= 60; },
                              kBackstop));
  instance& leaving = *fleet->Instances()[0];
  leaving.node.front().Signal(SIGTERM);
  CHECK(leaving.node.front().Wait() == 0);
  const lab::load_result result = load.get();
  INFO(result.ToJson().dump());
  CHECK(result.cut == 0);
  CHECK(result.mismatched_answers == 0);
  CHECK(result.by_status.size() == 1);
  CHECK(result.by_status.contains(200));
}

TEST_CASE("a backend server that is told to end cuts no request") {
  const auto fleet = StartSmallDeployment(32, {"--work-ms", "50"});
  auto load = StartLoad(*fleet->Instances()[4], 60, milliseconds{4000});
  REQUIRE(deployment::WaitFor([&] { return CountRuns(*fleet).requests >= 60; },
                              kBackstop));
  instance& leaving = *fleet->Instances()[1];
  leaving.server.front().Signal(SIGTERM);
  CHECK(leaving.server.front().Wait() == 0);
  const lab::load_result result = load.get();
  INFO(result.ToJson().dump());
  CHECK(result.cut == 0);
  CHECK(result.by_status.size() == 1);
  CHECK(result.by_status.contains(200));
}

TEST_CASE("killing a third of the nodes neither cuts nor mixes up answers") {
  const auto fleet = StartSmallDeployment(33);
  auto load = StartLoad(*fleet->Instances()[4], 100, milliseconds{5000});
  REQUIRE(deployment::WaitFor([&] { return CountRuns(*fleet).requests >= 100; },
                              kBackstop));
  for (const std::size_t index : std::to_array<std::size_t>({0, 5})) {
    fleet->Instances()[index]->node.front().Signal(SIGKILL);
    fleet->Instances()[index]->node.clear();
  }
  const lab::load_result result = load.get();
  INFO(result.ToJson().dump());
  CHECK(result.cut == 0);
  CHECK(result.mismatched_answers == 0);
  REQUIRE(deployment::WaitFor(
      [&] { return Get(*fleet->Instances()[4], "/equipment/17") == 200; },
      kBackstop));
}

// Sends the order with the same idempotency key through every node in turn, as
// a caller that retries does. Returns the status of the last node, or zero if
// it did not answer.
int OrderWithRetries(const deployment& fleet, const std::string& key) {
  int status = 0;
  for (const auto& each : fleet.Instances()) {
    const auto reply =
        lab::Request({.method = "POST",
                      .target = each->AddressWithPort(lab::kOutsidePort),
                      .path = "/cylinders/orders",
                      .headers = {{"Idempotency-Key", key}},
                      .body = "{}"});
    status = reply.Ok() ? reply->status : 0;
  }
  return status;
}

TEST_CASE("an order that is retried at every node is run at most once") {
  const auto fleet =
      StartSmallDeployment(34, {"--work-ms", "20", "--cut-percent", "30"});
  const auto clock = base::SystemClock();
  const auto random = base::SystemRandom();
  constexpr int kOrders = 60;
  constexpr int kKillAt = 20;
  // A node accepts orders only some time after its start
  // (claim_options::discovery_time), so send some until one is run.
  REQUIRE(deployment::WaitFor(
      [&] {
        OrderWithRetries(*fleet, lab::MakeIdempotencyKey(clock(), random));
        return CountRuns(*fleet).requests > 0;
      },
      kBackstop));
  for (int order = 0; order < kOrders; ++order) {
    if (order == kKillAt) {
      instance& victim = *fleet->Instances()[3];
      victim.node.front().Signal(SIGKILL);
      victim.node.clear();
      REQUIRE(fleet->StartNode(victim).Ok());
    }
    OrderWithRetries(*fleet, lab::MakeIdempotencyKey(clock(), random));
  }
  const run_count runs = CountRuns(*fleet);
  CHECK(runs.repeated == 0);
  CHECK(runs.requests > 0);
}

}  // namespace
}  // namespace fireflyspar::tests
