// Tests of the mesh when nodes are killed, restarted, paused or leave, and when
// data centres are partitioned from each other.
#include <algorithm>
#include <catch2/catch.hpp>
#include <future>
#include <set>
#include <string>

#include "decisions/membership.h"
#include "fleet.h"
#include "nodes/mesh.h"

namespace fireflyspar::nodes {
namespace {

using decisions::node_state;

bool AllSee(fleet& nodes, const std::string& id, node_state state) {
  return std::ranges::all_of(nodes.Running(), [&](const fleet_node* node) {
    return node->id == id || RecordAt(*node, id).state == state;
  });
}

void AddDataCentre(fleet& nodes, const std::string& name, int count) {
  for (int i = 0; i < count; ++i) {
    nodes.Add(name + "-" + std::to_string(i), name);
  }
}

TEST_CASE("a killed node is declared dead everywhere and can rejoin") {
  fleet nodes;
  AddDataCentre(nodes, "fukuoka", 4);
  AddDataCentre(nodes, "kumamoto", 2);
  REQUIRE(Eventually([&] { return nodes.AllSeeSameMembers(); }));
  const auto old_record = RecordAt(nodes.At("fukuoka-0"), "fukuoka-2");
  nodes.Kill("fukuoka-2");
  CHECK(Eventually(
      [&] { return AllSee(nodes, "fukuoka-2", node_state::kDead); }));
  nodes.Restart("fukuoka-2");
  CHECK(Eventually([&] { return nodes.AllSeeSameMembers(); }));
  const auto new_record = RecordAt(nodes.At("kumamoto-1"), "fukuoka-2");
  CHECK(new_record.incarnation > old_record.incarnation);
  CHECK(new_record.rpc_address != old_record.rpc_address);
}

TEST_CASE("a node that restarts at once replaces its earlier record") {
  fleet nodes;
  AddDataCentre(nodes, "fukuoka", 4);
  REQUIRE(Eventually([&] { return nodes.AllSeeSameMembers(); }));
  nodes.Kill("fukuoka-3");
  nodes.Restart("fukuoka-3");
  CHECK(Eventually([&] { return nodes.AllSeeSameMembers(); }));
}

TEST_CASE("a leaving node and a draining server are known everywhere") {
  fleet nodes;
  AddDataCentre(nodes, "fukuoka", 5);
  AddDataCentre(nodes, "kumamoto", 3);
  REQUIRE(Eventually([&] { return nodes.AllSeeSameMembers(); }));
  nodes.At("fukuoka-4")
      .running->SetServer({.service = "history",
                           .version = "v1",
                           .slots = 6,
                           .state = decisions::server_state::kDraining});
  CHECK(Eventually([&] {
    return std::ranges::all_of(nodes.Running(), [](const fleet_node* node) {
      return RecordAt(*node, "fukuoka-4").server.state ==
             decisions::server_state::kDraining;
    });
  }));
  nodes.At("fukuoka-4").running->Leave();
  CHECK(Eventually(
      [&] { return AllSee(nodes, "fukuoka-4", node_state::kLeft); }));
  CHECK_FALSE(nodes.At("fukuoka-4").running->HasJob("watch", 100));
}

TEST_CASE("a partitioned data centre works on alone and later converges") {
  fleet nodes;
  AddDataCentre(nodes, "fukuoka", 3);
  AddDataCentre(nodes, "kumamoto", 3);
  AddDataCentre(nodes, "kagoshima", 3);
  REQUIRE(Eventually([&] { return nodes.AllSeeSameMembers(); }));
  nodes.SetPartitioned("kagoshima", true);
  nodes.At("fukuoka-1").running->Offer(Configuration(5));
  nodes.At("kagoshima-1").running->Offer(Configuration(4));
  CHECK(Eventually([&] {
    return nodes.AllHaveVersion(5, "fukuoka") &&
           nodes.AllHaveVersion(5, "kumamoto") &&
           nodes.AllHaveVersion(4, "kagoshima");
  }));
  // Offers a move on one side of the partition and its rollback on the other;
  // after the partition heals, the rollback is in force on both sides.
  const decisions::move rolled_back{
      .id = "m", .state = decisions::move_state::kRolledBack};
  nodes.At("kagoshima-0").running->Offer(decisions::move{.id = "m"});
  nodes.At("fukuoka-0").running->Offer(rolled_back);
  nodes.Kill("kagoshima-2");
  CHECK(Eventually([&] {
    return RecordAt(nodes.At("kagoshima-1"), "kagoshima-2").state ==
           node_state::kDead;
  }));
  CHECK(RecordAt(nodes.At("fukuoka-1"), "kagoshima-2").state ==
        node_state::kAlive);
  nodes.SetPartitioned("kagoshima", false);
  CHECK(Eventually(
      [&] { return nodes.AllHaveVersion(5) && nodes.AllSeeSameMembers(); }));
  CHECK(Eventually([&] {
    return std::ranges::all_of(nodes.Running(), [](const fleet_node* node) {
      const auto view = node->running->View();
      return view->moves.size() == 1 &&
             view->moves.front().state == decisions::move_state::kRolledBack;
    });
  }));
}

TEST_CASE("a deleted move is removed at every node and not accepted again") {
  fleet nodes;
  AddDataCentre(nodes, "fukuoka", 4);
  REQUIRE(Eventually([&] { return nodes.AllSeeSameMembers(); }));
  const auto count = [&](std::size_t wanted) {
    return std::ranges::all_of(nodes.Running(), [&](const fleet_node* node) {
      return node->running->View()->moves.size() == wanted;
    });
  };
  nodes.At("fukuoka-1").running->Offer(decisions::move{.id = "m"});
  CHECK(Eventually([&] { return count(1); }));
  nodes.At("fukuoka-2").running->Forget("m");
  CHECK(Eventually([&] { return count(0); }));
  nodes.At("fukuoka-3").running->Offer(decisions::move{.id = "m"});
  nodes.At("fukuoka-3").running->Offer(decisions::move{.id = "n"});
  CHECK(Eventually([&] { return count(1); }));
}

// Sends a report from one data centre and checks that exactly `expected` nodes
// receive it, and that these are the evaluators of the data centres in
// `receiving_data_centres`, as each node knows by its own HasJob().
void CheckEvidenceReceivers(
    fleet& nodes, std::int64_t expected,
    const std::set<std::string>& receiving_data_centres) {
  AddDataCentre(nodes, "fukuoka", 5);
  AddDataCentre(nodes, "kumamoto", 3);
  REQUIRE(Eventually([&] { return nodes.AllSeeSameMembers(); }));
  nodes.At("fukuoka-1")
      .running->SendEvidence(
          {.move_id = "m", .node_id = "fukuoka-1", .data_centre = "fukuoka"});
  const auto count_receivers = [&] {
    return std::ranges::count_if(nodes.Running(), [](const fleet_node* node) {
      return node->evidence_reports.load() > 0;
    });
  };
  CHECK(Eventually([&] { return count_receivers() == expected; }));
  for (const fleet_node* node : nodes.Running()) {
    const bool is_evaluator =
        receiving_data_centres.contains(node->data_centre) &&
        node->running->HasJob(EvaluatorJob("m"), kEvaluatorsPerMove);
    CHECK(is_evaluator == (node->evidence_reports.load() > 0));
  }
}

TEST_CASE(
    "evidence reaches its move's evaluators in the sender's data centre") {
  fleet nodes;
  nodes.max_pooled_evidence_nodes = 0;
  CheckEvidenceReceivers(nodes, 2, {"fukuoka"});
}

TEST_CASE("in a small fleet evidence reaches every data centre's evaluators") {
  fleet nodes;
  CheckEvidenceReceivers(nodes, 4, {"fukuoka", "kumamoto"});
}

TEST_CASE(
    "a paused node that resumes rejoins and declares no other node dead") {
  fleet nodes;
  std::promise<void> wake;
  const std::shared_future<void> woken = wake.get_future().share();
  AddDataCentre(nodes, "fukuoka", 3);
  fleet_node& paused = nodes.At("fukuoka-2");
  paused.during_evidence = [woken] { woken.wait(); };
  REQUIRE(Eventually([&] { return nodes.AllSeeSameMembers(); }));

  int number = 0;
  const auto move_id = [&] { return "move-" + std::to_string(number); };
  while (!paused.running->HasJob(EvaluatorJob(move_id()), kEvaluatorsPerMove)) {
    ++number;
  }
  nodes.At("fukuoka-0").running->SendEvidence({.move_id = move_id()});
  const bool seen_dead = Eventually([&] {
    return RecordAt(nodes.At("fukuoka-0"), "fukuoka-2").state ==
           node_state::kDead;
  });
  wake.set_value();
  CHECK(seen_dead);
  CHECK(Eventually([&] { return nodes.AllSeeSameMembers(); }));
  CHECK(RecordAt(nodes.At("fukuoka-0"), "fukuoka-2").sequence > 1);
  CHECK(paused.views_with_dead_member == 0);
}

}  // namespace
}  // namespace fireflyspar::nodes
