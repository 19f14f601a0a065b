// Tests of how the configuration is distributed while processes are killed,
// frozen or partitioned off and while the platform fails. The tests check each
// node's own status and the answers to calls.
#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <string>

#include "small_deployment.h"

namespace fireflyspar::tests {
namespace {

using lab::deployment;
using lab::instance;

void SetPlatformFaults(const deployment& fleet, const std::string& faults) {
  const auto reply = lab::Request({.method = "POST",
                                   .target = fleet.PlatformAddress(),
                                   .path = "/faults",
                                   .body = faults});
  REQUIRE(reply.Ok());
  REQUIRE(reply->status == 200);
}

void KillNode(instance& at) {
  at.node.front().Signal(SIGKILL);
  at.node.clear();
}

TEST_CASE("a node that was killed comes back at the version in force") {
  const auto fleet = StartSmallDeployment(21);
  instance& victim = *fleet->Instances()[1];
  KillNode(victim);
  REQUIRE(UseExample(*fleet, "peak") == 0);
  REQUIRE(deployment::WaitFor([&] { return fleet->AllNodesAtVersion(2); },
                              kBackstop));

  REQUIRE(fleet->StartNode(victim).Ok());
  REQUIRE(deployment::WaitFor(
      [&] { return deployment::ConfigurationVersionAt(victim) == 2; },
      kBackstop));
}

TEST_CASE(
    "a node gets the configuration from peers when the platform is down") {
  const auto fleet = StartSmallDeployment(22);
  instance& victim = *fleet->Instances()[2];
  KillNode(victim);
  fleet->StopPlatform();
  REQUIRE(fleet->StartNode(victim).Ok());
  REQUIRE(deployment::WaitFor(
      [&] { return deployment::ConfigurationVersionAt(victim) == 1; },
      kBackstop));
  REQUIRE(deployment::WaitFor(
      [&] { return Get(victim, "/equipment/17") == 200; }, kBackstop));
}

TEST_CASE("a node that was frozen through a change catches up and is kept") {
  const auto fleet = StartSmallDeployment(23);
  instance& frozen = *fleet->Instances()[0];
  frozen.node.front().Signal(SIGSTOP);
  REQUIRE(UseExample(*fleet, "peak") == 0);
  REQUIRE(deployment::WaitFor(
      [&] {
        return std::ranges::all_of(fleet->Instances(), [&](const auto& each) {
          return each.get() == &frozen ||
                 deployment::ConfigurationVersionAt(*each) == 2;
        });
      },
      kBackstop));
  frozen.node.front().Signal(SIGCONT);
  REQUIRE(deployment::WaitFor([&] { return fleet->AllNodesAtVersion(2); },
                              kBackstop));
  // The node refutes its own death and has not declared the others dead.
  const auto servers = static_cast<std::int64_t>(fleet->Instances().size());
  REQUIRE(
      deployment::WaitFor([&] { return AllKnow(*fleet, servers); }, kBackstop));
}

TEST_CASE("a partitioned data centre keeps serving and later reconnects") {
  const auto fleet = StartSmallDeployment(24);
  fleet->Partition("fukuoka", "kumamoto");
  fleet->Partition("fukuoka", "kagoshima");
  REQUIRE(UseExample(*fleet, "peak") == 0);
  REQUIRE(deployment::WaitFor([&] { return fleet->AllNodesAtVersion(2); },
                              kBackstop));
  for (const auto& each : fleet->Instances()) {
    CHECK(deployment::WaitFor(
        [&] { return Get(*each, "/equipment/17") == 200; }, kBackstop));
  }
  fleet->Heal();
  const auto servers = static_cast<std::int64_t>(fleet->Instances().size());
  REQUIRE(
      deployment::WaitFor([&] { return AllKnow(*fleet, servers); }, kBackstop));
}

TEST_CASE(
    "a change whose answer is lost is applied once and reported as such") {
  const auto fleet = StartSmallDeployment(25);
  SetPlatformFaults(*fleet, R"({"lose_answers":1})");
  CHECK(UseExample(*fleet, "peak") == 0);
  REQUIRE(deployment::WaitFor([&] { return fleet->AllNodesAtVersion(2); },
                              kBackstop));
  for (const auto& each : fleet->Instances()) {
    CHECK(deployment::ConfigurationVersionAt(*each) == 2);
  }
}

TEST_CASE(
    "concurrent changes by two operators leave all nodes at one version") {
  const auto fleet = StartSmallDeployment(26);
  const std::string examples =
      std::string(FIREFLYSPAR_SOURCE_DIR) + "/examples/kyushu/";
  for (const char* name : {"peak", "maintenance"}) {
    REQUIRE(fleet->RunCli({"preset", "put", examples + name + ".json"}) == 0);
  }
  const auto use = [&](const char* name) {
    return std::async(std::launch::async, [&fleet, name] {
      return fleet->RunCli({"preset", "use", name});
    });
  };
  auto first = use("peak");
  auto second = use("maintenance");
  const int first_code = first.get();
  const int second_code = second.get();

  // Either one command lost the race and reported a conflict, or it began after
  // the other had finished. Each accepted command created one version.
  const int conflict =
      base::ErrorInfoFor(base::error_kind::kConflict).exit_code;
  CHECK((first_code == 0 || first_code == conflict));
  CHECK((second_code == 0 || second_code == conflict));
  std::uint64_t accepted = 0;
  if (first_code == 0) ++accepted;
  if (second_code == 0) ++accepted;
  REQUIRE(accepted >= 1);
  REQUIRE(deployment::WaitFor(
      [&] { return fleet->AllNodesAtVersion(1 + accepted); }, kBackstop));
  for (const auto& each : fleet->Instances()) {
    CHECK(deployment::ConfigurationVersionAt(*each) == 1 + accepted);
  }
}

TEST_CASE("an invalid preset is refused with a message and changes nothing") {
  const auto fleet = StartSmallDeployment(27);
  std::string output;
  const int code = fleet->RunCli(
      {"preset", "put", std::string(FIREFLYSPAR_SOURCE_DIR) + "/README.md"},
      &output);
  CHECK(code == base::ErrorInfoFor(base::error_kind::kBadPreset).exit_code);
  CHECK_FALSE(output.empty());
  for (const auto& each : fleet->Instances()) {
    CHECK(deployment::ConfigurationVersionAt(*each) == 1);
  }
}

}  // namespace
}  // namespace fireflyspar::tests
