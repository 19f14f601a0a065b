#include "decisions/membership.h"

#include <catch2/catch.hpp>

namespace fireflyspar::decisions {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr base::instant kStart{hours(1)};

member_record Record(const std::string& id, std::uint64_t sequence = 1) {
  return {.node_id = id,
          .data_centre = "fukuoka",
          .incarnation = 100,
          .sequence = sequence};
}

membership Make() {
  return membership({.self = Record("self"), .random = base::SeededRandom(1)});
}

// Lets time pass in steps short enough not to count as a pause.
void Pass(membership& members, base::instant& now, base::duration time) {
  constexpr base::duration kStep = milliseconds(100);
  const base::instant end = now + time;
  while (now < end) {
    now += kStep;
    members.Tick(now);
  }
}

// Reports every pending probe, direct and indirect, as failed.
void FailProbes(membership& members, base::instant& now) {
  for (const probe& sent : members.TakeEffects().probes) {
    members.OnProbe(sent.number, false, now);
  }
  for (const indirect_probe& sent : members.TakeEffects().indirect_probes) {
    members.OnIndirectProbe(sent.target.number, false, now);
  }
}

node_state StateOf(const membership& members, const std::string& id) {
  return members.Find(id)->record.state;
}

TEST_CASE("a member that answers no probe is suspected, then declared dead") {
  membership members = Make();
  base::instant now = kStart;
  members.Merge(Record("peer"), now);
  Pass(members, now, milliseconds(600));
  FailProbes(members, now);
  CHECK(StateOf(members, "peer") == node_state::kSuspect);
  Pass(members, now, members.SuspicionTimeout() - milliseconds(200));
  CHECK(StateOf(members, "peer") == node_state::kSuspect);
  Pass(members, now, milliseconds(300));
  CHECK(StateOf(members, "peer") == node_state::kDead);
}

TEST_CASE("a successful indirect probe keeps a member alive") {
  membership members = Make();
  base::instant now = kStart;
  members.Merge(Record("peer"), now);
  members.Merge(Record("helper"), now);
  Pass(members, now, milliseconds(100));
  const auto probes = members.TakeEffects().probes;
  REQUIRE(probes.size() == 1);
  members.OnProbe(probes.front().number, false, now);
  const auto indirect = members.TakeEffects().indirect_probes;
  REQUIRE(indirect.size() == 1);
  CHECK(indirect.front().helpers.size() == 1);
  members.OnIndirectProbe(indirect.front().target.number, true, now);
  CHECK(StateOf(members, probes.front().node_id) == node_state::kAlive);
}

TEST_CASE("a suspected member that refutes becomes alive and stays alive") {
  membership members = Make();
  base::instant now = kStart;
  member_record suspect = Record("peer");
  suspect.state = node_state::kSuspect;
  members.Merge(suspect, now);
  members.Merge(Record("peer", 2), now);
  CHECK_FALSE(members.Merge(suspect, now));
  Pass(members, now, seconds(30));
  CHECK(StateOf(members, "peer") == node_state::kAlive);
}

TEST_CASE("a node refutes a record that declares it dead") {
  membership members = Make();
  member_record received = members.Self();
  received.state = node_state::kDead;
  CHECK(members.Merge(received, kStart));
  CHECK(members.Self().state == node_state::kAlive);
  CHECK(Supersedes(members.Self(), received));
}

TEST_CASE("a node supersedes an earlier run of its own with a later clock") {
  membership members = Make();
  member_record earlier = members.Self();
  earlier.incarnation += 50;
  CHECK(members.Merge(earlier, kStart));
  CHECK(Supersedes(members.Self(), earlier));
}

TEST_CASE("a node does not declare others dead because of its own pause") {
  membership members = Make();
  base::instant now = kStart;
  members.Merge(Record("peer"), now);
  members.Merge(Record("other"), now);
  Pass(members, now, milliseconds(600));
  const auto probes = members.TakeEffects().probes;
  member_record suspect = Record("other");
  suspect.state = node_state::kSuspect;
  members.Merge(suspect, now);

  now += seconds(10);
  for (const probe& sent : probes) members.OnProbe(sent.number, false, now);
  members.Tick(now);
  CHECK(members.TakeEffects().indirect_probes.empty());
  CHECK(StateOf(members, "peer") == node_state::kAlive);
  // The suspicion began before the pause, and its timeout starts anew.
  CHECK(StateOf(members, "other") == node_state::kSuspect);
  Pass(members, now, members.SuspicionTimeout() - milliseconds(200));
  CHECK(StateOf(members, "other") == node_state::kSuspect);
}

TEST_CASE(
    "a node that leaves records it, and old copies do not bring it back") {
  membership members = Make();
  members.Leave(kStart);
  member_record received = members.Self();
  CHECK(received.state == node_state::kLeft);
  membership other =
      membership({.self = Record("other"), .random = base::SeededRandom(1)});
  other.Merge(received, kStart);
  CHECK_FALSE(other.Merge(Record("self"), kStart));
  CHECK(StateOf(other, "self") == node_state::kLeft);
  CHECK(other.LivingPeers("fukuoka").empty());
}

TEST_CASE(
    "a dead record is no longer gossiped, refuses old copies, is dropped") {
  membership members = Make();
  base::instant now = kStart;
  member_record dead = Record("peer", 5);
  dead.state = node_state::kDead;
  members.Merge(dead, now);
  now += minutes(11);
  members.Tick(now);
  CHECK(members.Find("peer")->gossip_expired);
  CHECK_FALSE(members.Merge(Record("peer", 4), now));
  now += hours(7);
  members.Tick(now);
  CHECK(members.Find("peer") == nullptr);
}

TEST_CASE("a member that restarted supersedes its dead record") {
  membership members = Make();
  member_record dead = Record("peer", 5);
  dead.state = node_state::kDead;
  members.Merge(dead, kStart);
  member_record back = Record("peer", 1);
  back.incarnation += 1;
  CHECK(members.Merge(back, kStart));
  CHECK(StateOf(members, "peer") == node_state::kAlive);
}

TEST_CASE("suspicion lasts longer in a larger data centre") {
  membership members = Make();
  const base::duration alone = members.SuspicionTimeout();
  for (int i = 0; i < 500; ++i) {
    members.Merge(Record(std::to_string(i)), kStart);
  }
  CHECK(members.SuspicionTimeout() > 2 * alone);
}

TEST_CASE("members of other data centres are not probed") {
  membership members = Make();
  base::instant now = kStart;
  member_record far = Record("far");
  far.data_centre = "kumamoto";
  members.Merge(far, now);
  Pass(members, now, seconds(5));
  CHECK(members.TakeEffects().probes.empty());
}

}  // namespace
}  // namespace fireflyspar::decisions
