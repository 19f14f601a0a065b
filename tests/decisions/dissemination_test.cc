#include "decisions/dissemination.h"

#include <catch2/catch.hpp>

#include "base/hash.h"

namespace fireflyspar::decisions {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

constexpr base::instant kNow{hours(1)};

member_record Record(const std::string& id) {
  return {.node_id = id,
          .data_centre = "fukuoka",
          .incarnation = 100,
          .sequence = 1,
          .rpc_address = {.ip = "10.0.0.1", .port = 1}};
}

// The parts of one node that these tests need.
struct node {
  explicit node(const std::string& id, dissemination_options options = {})
      : members({.self = Record(id), .random = base::SeededRandom(1)}),
        disseminator(WithRandom(std::move(options)), members, configuration) {
    disseminator.ProcessMemberChanges(kNow);
  }

  static dissemination_options WithRandom(dissemination_options options) {
    options.random = base::SeededRandom(2);
    return options;
  }

  void AddMembers(int count) {
    for (int i = 0; i < count; ++i) {
      members.Merge(Record("member-" + std::to_string(i)), kNow);
    }
    disseminator.ProcessMemberChanges(kNow);
  }

  membership members;
  configuration_store configuration;
  dissemination disseminator;
};

// Runs a whole comparison. Returns the number of messages that `left` sent.
int Compare(node& left, node& right, base::instant now = kNow) {
  std::optional<gossip> message = left.disseminator.MakeExchange();
  int messages = 0;
  while (message) {
    ++messages;
    const gossip answer = right.disseminator.HandleMessage(*message, now);
    message = left.disseminator.HandleReply(answer, now);
  }
  return messages;
}

TEST_CASE("nodes with equal records finish a comparison after one digest") {
  node left("a");
  node right("b");
  Compare(left, right);
  CHECK(left.disseminator.RootHash() == right.disseminator.RootHash());
  CHECK(Compare(left, right) == 1);
}

TEST_CASE("a comparison gives each side the records that it lacks") {
  node left("a");
  node right("b");
  left.AddMembers(20);
  right.disseminator.Offer(move{.id = "m", .state = move_state::kRolledBack},
                           kNow);
  left.disseminator.Offer(move{.id = "m", .ready_data_centres = {"x"}}, kNow);
  Compare(left, right);
  CHECK(left.disseminator.RootHash() == right.disseminator.RootHash());
  CHECK(right.members.Members().size() == 22);
  CHECK(left.disseminator.Moves().at("m").state == move_state::kRolledBack);
  CHECK(right.disseminator.Moves().at("m").ready_data_centres.size() == 1);
}

TEST_CASE("one difference among many members sends few versions") {
  node left("a");
  node right("b");
  left.AddMembers(2000);
  right.AddMembers(2000);
  Compare(left, right);
  left.members.SetServer({.service = "s"}, kNow);
  left.disseminator.ProcessMemberChanges(kNow);
  const gossip answer =
      right.disseminator.HandleMessage(left.disseminator.MakeExchange(), kNow);
  const auto next = left.disseminator.HandleReply(answer, kNow);
  REQUIRE(next);
  CHECK(next->listed_buckets.size() == 1);
  CHECK(next->versions.size() < 100);
}

TEST_CASE("an update is pushed in a bounded number of rounds") {
  node left("a", {.rounds = 2});
  left.members.SetServer({.service = "s"}, kNow);
  left.disseminator.ProcessMemberChanges(kNow);
  for (int round = 0; round < 2; ++round) {
    REQUIRE(left.disseminator.HasUpdates());
    CHECK(left.disseminator.MakePush().members.size() == 1);
  }
  CHECK_FALSE(left.disseminator.HasUpdates());
}

TEST_CASE("a node over its full sync limit names other peers to ask") {
  node left("a", {.full_sync_rate = {.per_second = 1, .burst = 1}});
  left.AddMembers(500);
  node first("b");
  node second("c");
  Compare(first, left);
  CHECK(first.members.Members().size() > 500);
  const gossip answer =
      left.disseminator.HandleMessage(second.disseminator.MakeExchange(), kNow);
  const auto listing = second.disseminator.HandleReply(answer, kNow);
  REQUIRE(listing);
  const gossip refused = left.disseminator.HandleMessage(*listing, kNow);
  CHECK(refused.members.empty());
  CHECK_FALSE(refused.try_instead.empty());
  Compare(second, left, kNow + std::chrono::seconds(2));
  CHECK(second.members.Members().size() > 500);
}

TEST_CASE("an old copy does not bring back a forgotten move") {
  node left("a");
  node right("b");
  const move ended{.id = "m", .state = move_state::kDone, .is_final = true};
  left.disseminator.Offer(ended, kNow);
  Compare(left, right);
  left.disseminator.Forget("m", kNow);
  CHECK_FALSE(left.disseminator.Offer(ended, kNow));
  Compare(left, right);
  CHECK(right.disseminator.Moves().empty());
  // The same holds when the tombstone is no longer gossiped.
  node stale("c");
  stale.disseminator.Offer(ended, kNow);
  left.disseminator.ProcessMemberChanges(kNow + minutes(11));
  Compare(left, stale, kNow + minutes(11));
  CHECK(left.disseminator.Moves().empty());
  CHECK(stale.disseminator.Moves().empty());
}

TEST_CASE("a node that sends an older copy of a record gets the later one") {
  node left("a");
  member_record dead = Record("gone");
  dead.state = node_state::kDead;
  left.members.Merge(dead, kNow);
  left.disseminator.ProcessMemberChanges(kNow);
  const gossip answer = left.disseminator.HandleMessage(
      {.sender = "b", .members = {Record("gone")}}, kNow);
  REQUIRE(answer.members.size() == 1);
  CHECK(answer.members.front().state == node_state::kDead);
}

TEST_CASE("a sender that is recorded as dead gets that record") {
  node left("a");
  member_record dead = Record("b");
  dead.state = node_state::kDead;
  left.members.Merge(dead, kNow);
  const gossip answer = left.disseminator.HandleMessage({.sender = "b"}, kNow);
  REQUIRE(answer.members.size() == 1);
  node right("b");
  right.disseminator.HandleReply(answer, kNow);
  CHECK(Supersedes(right.members.Self(), dead));
}

TEST_CASE("the full sync limit admits a burst and then its rate") {
  full_sync_limiter limiter({.per_second = 2, .burst = 3});
  for (int i = 0; i < 3; ++i) CHECK(limiter.Admit(kNow));
  CHECK_FALSE(limiter.Admit(kNow));
  CHECK(limiter.Admit(kNow + std::chrono::milliseconds(600)));
  CHECK_FALSE(limiter.Admit(kNow + std::chrono::milliseconds(700)));
}

}  // namespace
}  // namespace fireflyspar::decisions
