// How news spreads. A record that changed here, or that came as news, is pushed
// to a few peers in a bounded number of rounds, which reaches nearly everybody
// within O(log n) hops; whoever was missed is found by comparing digests with
// one random peer each period (Demers et al., "Epidemic Algorithms for
// Replicated Database Maintenance", 1987: rumour mongering backed by
// anti-entropy). A digest is one hash over all records; only when it differs
// are the hashes of buckets sent, then the versions in the buckets that differ,
// then the records themselves, so that what is sent grows with the difference
// and not with the fleet.
//
// Pure: messages and `now` go in, messages come out.
#ifndef FIREFLYSPAR_DECISIONS_DISSEMINATION_H_
#define FIREFLYSPAR_DECISIONS_DISSEMINATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/address.h"
#include "base/hooks.h"
#include "decisions/configuration_store.h"
#include "decisions/gossip.h"
#include "decisions/membership.h"
#include "decisions/record_index.h"
#include "decisions/sync_gate.h"

namespace fireflyspar::decisions {

struct dissemination_options {
  base::random_hook random;

  // Peers that each round of pushing goes to, and rounds for each record.
  std::size_t fan_out = 3;
  int rounds = 2;

  // Records in one push; the rest waits for the next round.
  std::size_t records_per_push = 128;

  // An answer with more records than this counts as a full sync, of which only
  // so many are given.
  std::size_t full_sync_records = 256;
  sync_gate_options full_syncs;

  // A forgotten move is told for the first time span and refused for the
  // second.
  base::duration tell_forgotten_for = std::chrono::minutes(10);
  base::duration keep_forgotten_for = std::chrono::hours(6);
};

class dissemination {
 public:
  // `members` must outlive this object, which follows its changes.
  dissemination(dissemination_options options, membership& members,
                configuration_store& configuration);

  // Follows changes of the members' records and lets old ones go; to be called
  // after every event that went into the membership.
  void Follow(base::instant now);

  // Whether members or moves changed since this was last asked.
  bool TakeChanged();

  // Merges a move, or a move's end of life, made known on this node.
  bool Offer(const move& news, base::instant now);
  void Forget(const std::string& move_id, base::instant now);

  // The configuration changed; its version is pushed.
  void ConfigurationChanged();

  // Whether there is anything to push.
  bool HasNews() const;

  // The message of one round of pushing; counts as one round for what is in it.
  gossip MakePush();

  // The message that opens a comparison.
  gossip MakeExchange();

  // Merges a message and gives its answer.
  gossip Answer(const gossip& message, base::instant now);

  // Merges an answer; gives the next message where the comparison goes on.
  std::optional<gossip> Continue(const gossip& answer, base::instant now);

  // Peers to push to now: a few of the own data centre and, from a bridge, one
  // of each other data centre.
  std::vector<member_record> PushTargets();

  // Peers of other data centres to compare with now; none unless a bridge.
  std::vector<member_record> BridgeTargets();

  // Peers to name to a node that is turned away.
  std::vector<base::address> Alternatives() const;

  const std::map<std::string, move>& Moves() const { return moves_; }
  std::uint64_t RootHash() const { return index_.RootHash(); }

 private:
  struct forgotten_move {
    base::instant since;
    bool quiet = false;
  };

  gossip Header() const;
  void MergeRecords(const gossip& message, base::instant now);
  void IndexMember(const std::string& node_id);
  void IndexMove(const std::string& move_id);
  void Spread(std::uint64_t key);
  void Add(std::uint64_t key, gossip& message) const;

  // Whoever sent an older copy than is held here gets the later one; this is
  // also how a record that is no longer told by itself keeps old copies out.
  void Correct(const gossip& heard, gossip& reply) const;
  void AnswerListing(const gossip& message, gossip& answer, base::instant now);
  bool GiveFullSync(std::size_t records, gossip& answer, base::instant now);
  void AgeForgotten(base::instant now);
  bool IsBridge();

  dissemination_options options_;
  membership& members_;
  configuration_store& configuration_;
  std::map<std::string, move> moves_;
  std::map<std::string, forgotten_move> forgotten_;
  record_index index_;
  std::map<std::uint64_t, int> news_;  // Key to rounds left.
  int configuration_rounds_ = 0;
  bool changed_ = true;
  std::optional<bool> is_bridge_;  // Until the members change.
  sync_gate full_syncs_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_DISSEMINATION_H_
