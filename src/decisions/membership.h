// Which instances exist and which of them live, in the manner of SWIM (Das,
// Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process
// Group Membership Protocol", 2002). Each period one member of the own data
// centre is probed; when it does not answer, a few others are asked to probe
// it; when they fail too it is suspected, and after a timeout that grows with
// the logarithm of the number of members it is dead. A suspected or dead node
// that lives refutes by raising its own sequence.
//
// Members of other data centres are not probed from here: their records come
// from their own data centre, and stay as last heard while it is cut off.
//
// Pure: time, probes' results and records go in; probes to send and the ids of
// changed records come out.
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
  std::size_t indirect_probes = 3;

  // Periods from suspicion to death, times log10 of the number of members.
  int suspicion_multiplier = 6;

  // A gap between two events that is longer than this was a pause of this
  // process; what it missed meanwhile says nothing about the others.
  base::duration pause_threshold = std::chrono::seconds(2);

  // The record of a node that ended is told to others for the first time span
  // and kept, to refuse older copies, for the second.
  base::duration tell_ended_for = std::chrono::minutes(10);
  base::duration keep_ended_for = std::chrono::hours(6);

  // Each so many periods a node that ended is tried as well, so that two parts
  // of a data centre that took each other for dead find back together.
  std::uint64_t periods_between_revivals = 10;

  // Which copy wins; a test puts a broken one here.
  std::function<bool(const member_record& candidate,
                     const member_record& current)>
      supersedes = Supersedes;
};

// What is held of one member.
struct held_member {
  member_record record;
  base::instant changed;            // When this copy was taken.
  base::instant suspicion_expires;  // Only while suspected.
  bool quiet = false;               // Ended long ago: kept, no longer told.
};

// A probe to send, answered by membership::OnProbe with its number.
struct probe {
  std::uint64_t number = 0;
  std::string node_id;
  base::address address;
};

// A probe to send through others, answered by OnIndirectProbe.
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

  // Time passes: probes what is due, ends suspicions, drops old records.
  void Tick(base::instant now);

  // A direct probe was answered, or was not in time.
  void OnProbe(std::uint64_t number, bool answered, base::instant now);

  // The helpers are through: whether any reached the target.
  void OnIndirectProbe(std::uint64_t number, bool reached, base::instant now);

  // Merges a record heard from another node; true when it changed anything.
  bool Merge(const member_record& record, base::instant now);

  // Changes the own record.
  void SetServer(const server_record& server, base::instant now);
  void Leave(base::instant now);

  const member_record& Self() const { return self_; }
  const std::map<std::string, held_member, std::less<>>& Members() const {
    return members_;
  }
  const held_member* Find(std::string_view node_id) const;

  // Other members of the data centre that are alive or suspected.
  std::vector<const member_record*> LivingPeers(
      std::string_view data_centre) const;

  // Data centres, other than the own, that have living members.
  std::set<std::string> OtherDataCentres() const;

  // How long a member stays suspected before it is dead.
  base::duration SuspicionTimeout() const;

  // Hands over, once, the probes to send.
  membership_effects TakeEffects();

  // Hands over, once, the ids of the nodes whose record changed.
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
  void ProbeEnded();
  void Suspect(const running_probe& failed, base::instant now);
  void ExpireSuspicions(base::instant now);
  void Age(base::instant now);
  void Store(const member_record& record, base::instant now);
  void Refute(const member_record& claim, base::instant now);
  void SelfChanged(base::instant now);

  membership_options options_;
  member_record self_;
  std::map<std::string, held_member, std::less<>> members_;  // Self included.
  std::map<std::uint64_t, running_probe> running_probes_;
  std::vector<std::string> probe_order_;  // Shuffled; used from the back.
  std::uint64_t next_probe_number_ = 1;
  std::uint64_t periods_ = 0;
  base::instant last_event_;
  base::instant next_period_;
  base::instant next_aging_;
  membership_effects effects_;
  std::vector<std::string> changed_;
};

// True for a node that takes part: alive, or only suspected.
inline bool IsLiving(const member_record& record) {
  return record.state == node_state::kAlive ||
         record.state == node_state::kSuspect;
}

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_MEMBERSHIP_H_
