#include "nodes/mesh.h"

#include <catch2/catch.hpp>

#include "fleet.h"

namespace fireflyspar::nodes {
namespace {

const std::vector<std::string> kDataCentres{"fukuoka", "kumamoto", "kagoshima"};

// Adds `count` nodes, "fukuoka-0", "kumamoto-1" and so on, spread over the data
// centres in turn.
void AddNodes(fleet& nodes, int count) {
  for (int i = 0; i < count; ++i) {
    const std::string& data_centre =
        kDataCentres[static_cast<std::size_t>(i) % kDataCentres.size()];
    nodes.Add(data_centre + "-" + std::to_string(i), data_centre);
  }
}

TEST_CASE("nodes find each other through one seed") {
  fleet nodes;
  AddNodes(nodes, 9);
  CHECK(Eventually([&] { return nodes.AllSeeSameMembers(); }));
  CHECK(nodes.At("kumamoto-4").running->RespondedPeers() > 0);
}

TEST_CASE("a configuration offered at one node comes into force at all nodes") {
  fleet nodes;
  AddNodes(nodes, 9);
  REQUIRE(Eventually([&] { return nodes.AllSeeSameMembers(); }));
  nodes.At("kagoshima-5").running->Offer(Configuration(1));
  CHECK(Eventually([&] { return nodes.AllHaveVersion(1); }));
  nodes.At("fukuoka-3").running->Offer(Configuration(3));
  CHECK(Eventually([&] { return nodes.AllHaveVersion(3); }));
  nodes.At("fukuoka-3").running->Offer(Configuration(2));
  nodes.At("fukuoka-3").running->Offer(Configuration(4));
  CHECK(Eventually([&] { return nodes.AllHaveVersion(4); }));
}

TEST_CASE("a new node gets the configuration from its peers") {
  fleet nodes;
  AddNodes(nodes, 3);
  nodes.At("fukuoka-0").running->Offer(Configuration(7));
  REQUIRE(Eventually([&] { return nodes.AllHaveVersion(7); }));
  nodes.Add("fukuoka-new", "fukuoka");
  CHECK(Eventually(
      [&] { return nodes.AllHaveVersion(7) && nodes.AllSeeSameMembers(); }));
}

}  // namespace
}  // namespace fireflyspar::nodes
