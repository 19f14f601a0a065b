#include "small_deployment.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <utility>

namespace fireflyspar::tests {
namespace {

constexpr int kSlots = 6;

std::string LogFolder(int second_octet) {
  const std::string folder = std::string(FIREFLYSPAR_BINARY_DIR) +
                             "/failure-test-logs/" +
                             std::to_string(second_octet);
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  return folder;
}

nlohmann::json JsonAt(const base::address& target, const std::string& path) {
  const auto reply = lab::Request({.target = target, .path = path});
  if (!reply.Ok()) return {};
  return nlohmann::json::parse(reply->body, nullptr, false);
}

bool Knows(const lab::instance& at, std::int64_t servers) {
  const auto status =
      JsonAt(at.AddressWithPort(lab::kOperatorsPort), "/status");
  if (!status.is_object()) return false;
  return servers ==
         std::ranges::count_if(status["members"], [](const auto& member) {
           return member["server_state"] == "serving" &&
                  member["state"] == "alive";
         });
}

}  // namespace

std::unique_ptr<lab::deployment> StartSmallDeployment(
    int second_octet, std::vector<std::string> server_flags) {
  auto fleet = std::make_unique<lab::deployment>(lab::deployment_options{
      .binaries = FIREFLYSPAR_BINARY_DIR,
      .log_folder = LogFolder(second_octet),
      .second_octet = second_octet,
      .data_centres = {"fukuoka", "kumamoto", "kagoshima"},
      .plans = {{"equipment-history", "v1", 3, kSlots, server_flags},
                {"cylinder-supply", "v1", 3, kSlots, server_flags}}});
  const auto started = fleet->Start(kBackstop);
  INFO((started ? "" : started.Failure().detail));
  REQUIRE(started.Ok());
  const auto servers = static_cast<std::int64_t>(fleet->Instances().size());
  REQUIRE(lab::deployment::WaitFor([&] { return AllKnow(*fleet, servers); },
                                   kBackstop));
  REQUIRE(UseExample(*fleet, "ordinary") == 0);
  REQUIRE(lab::deployment::WaitFor([&] { return fleet->AllNodesAtVersion(1); },
                                   kBackstop));
  return fleet;
}

int UseExample(lab::deployment& fleet, const std::string& name) {
  const std::string file = std::string(FIREFLYSPAR_SOURCE_DIR) +
                           "/examples/kyushu/" + name + ".json";
  const int put = fleet.RunCli({"preset", "put", file});
  if (put != 0) return put;
  return fleet.RunCli({"preset", "use", name});
}

bool AllKnow(const lab::deployment& fleet, std::int64_t servers) {
  return std::ranges::all_of(fleet.Instances(), [&](const auto& each) {
    return each->node.empty() || Knows(*each, servers);
  });
}

int Get(const lab::instance& at, const std::string& path) {
  const auto reply = lab::Request(
      {.target = at.AddressWithPort(lab::kOutsidePort), .path = path});
  return reply.Ok() ? reply->status : 0;
}

run_count CountRuns(const lab::deployment& fleet) {
  run_count sum;
  for (const auto& each : fleet.Instances()) {
    const auto runs =
        JsonAt(each->AddressWithPort(lab::kServerPort), "/lab/runs");
    if (!runs.is_object()) continue;
    sum.requests += runs["total"].get<std::int64_t>();
    sum.repeated += static_cast<std::int64_t>(runs["repeated"].size());
  }
  return sum;
}

}  // namespace fireflyspar::tests
