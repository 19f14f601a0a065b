// Tracks which instances exist and which of them are alive, with a failure
// detector in the style of SWIM (Das, Gupta, Motivala: "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002).
// In each period the node probes one member of its own data centre. When that
// member does not answer, a few other members are asked to probe it. When they
// fail as well the member is suspected, and it is declared dead after a timeout
// that grows with the logarithm of the number of members. A node that is
// suspected or declared dead while it is alive refutes this by raising the
// sequence of its record.
//
// Members of other data centres are not probed. Their records come from their
// own data centre and keep the state last received while it is unreachable.
//
// The class does no I/O: callers pass in the time, the results of probes and
// received records, and collect the probes to send and the ids of changed
// records.
#ifndef FIREFLYSPAR_DECISIONS_MEMBERSHIP_H_
#define FIREFLYSPAR_DECISIONS_MEMBERSHIP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/hooks.h"
#include "decisions/member.h"

namespace fireflyspar::decisions {

struct membership_options {
  member_record self;
  base::random_hook random;

  base::duration probe_period = std::chrono::milliseconds(500);

  // Number of members asked to probe a member that did not answer.
  std::size_t indirect_probes = 3;

  // Periods from suspicion to death, to be multiplied by log10 of the number of
  // members.
  int suspicion_multiplier = 6;

  // A gap between two events that is longer than this is treated as a pause of
  // this process. What timed out during a pause is no evidence that another
  // member failed.
  base::duration pause_threshold = std::chrono::seconds(2);

  // The record of a member that died or left is gossiped for the first duration
  // and kept for the second, so that older copies of it are refused. Both count
  // from when the record was stored.
  base::duration departed_gossip_time = std::chrono::minutes(10);
  base::duration departed_retention = std::chrono::hours(6);

  // Number of periods after which one dead member is probed as well, so that
  // two parts of a data centre that declared each other dead rejoin.
  std::uint64_t periods_between_dead_probes = 10;

  // Returns whether `candidate` replaces `current`; tests set a faulty order
  // here.
  std::function<bool(const member_record& candidate,
                     const member_record& current)>
      supersedes = Supersedes;
};

// The record of one member and what this node keeps about it.
struct held_member {
  member_record record;
  base::instant changed;            // When this copy was stored.
  base::instant suspicion_expires;  // Valid only while suspected.
  bool gossip_expired = false;      // Long departed: kept, not gossiped.
};

// A direct probe to send. Its result is passed to membership::OnProbe with its
// number.
struct probe {
  std::uint64_t number = 0;
  std::string node_id;
  base::address address;
};

// A probe to send through other members. Its result is passed to
// OnIndirectProbe with the target's number.
struct indirect_probe {
  probe target;
  std::vector<base::address> helpers;
};

struct membership_effects {
  std::vector<probe> probes;
  std::vector<indirect_probe> indirect_probes;
};

class membership {
 public:
  explicit membership(membership_options options);

  // Advances the time: queues the probes that are due, declares members dead
  // whose suspicion expired, and drops old records of departed members.
  void Tick(base::instant now);

  // Handles the result of a direct probe. When it was not answered in time, the
  // target is probed through other members.
  void OnProbe(std::uint64_t number, bool answered, base::instant now);

  // Handles the result of an indirect probe: whether any helper reached the
  // target. When none did, the target is suspected.
  void OnIndirectProbe(std::uint64_t number, bool reached, base::instant now);

  // Merges a record received from another node. Returns whether it changed
  // anything.
  bool Merge(const member_record& record, base::instant now);

  // Sets the backend server in this node's own record.
  void SetServer(const server_record& server, base::instant now);

  // Marks this node as left in its own record.
  void Leave(base::instant now);

  const member_record& Self() const { return self_; }
  const std::map<std::string, held_member, std::less<>>& Members() const {
    return members_;
  }
  const held_member* Find(std::string_view node_id) const;

  // Returns the other members of the data centre that are alive or suspected.
  std::vector<const member_record*> LivingPeers(
      std::string_view data_centre) const;

  // Returns the data centres, other than this node's own, that have living
  // members.
  std::set<std::string> OtherDataCentres() const;

  // Returns how long a member stays suspected before it is declared dead.
  base::duration SuspicionTimeout() const;

  // Returns the probes to send and clears them.
  membership_effects TakeEffects();

  // Returns the ids of the nodes whose record changed and clears them.
  std::vector<std::string> TakeChanged();

 private:
  struct running_probe {
    std::string node_id;
    base::address address;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
  };

  void NoticePause(base::instant now);
  void Probe(const member_record& target);
  void ProbeNext();
  void ProbeDeadMember();
  void Suspect(const running_probe& failed, base::instant now);
  void ExpireSuspicions(base::instant now);
  void ExpireRecords(base::instant now);
  void Store(const member_record& record, base::instant now);
  void Refute(const member_record& received, base::instant now);
  void SelfChanged(base::instant now);

  membership_options options_;
  member_record self_;
  std::map<std::string, held_member, std::less<>> members_;  // Includes self.
  std::map<std::uint64_t, running_probe> running_probes_;
  std::vector<std::string> probe_order_;  // Shuffled; taken from the back.
  std::uint64_t next_probe_number_ = 1;
  std::uint64_t periods_ = 0;
  base::instant last_event_;
  base::instant next_period_;
  base::instant next_record_expiry_;
  membership_effects effects_;
  std::vector<std::string> changed_;
};

// Returns whether the node takes part in the fleet: alive, or only suspected.
inline bool IsLiving(const member_record& record) {
  return record.state == node_state::kAlive ||
         record.state == node_state::kSuspect;
}

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_MEMBERSHIP_H_
