// Spreads records through the fleet by gossip. An update, whether made on this
// node or received from another, is pushed to a few peers in a bounded number
// of rounds and so reaches nearly all nodes within O(log n) hops. Nodes that it
// did not reach are found by comparing digests with one random peer each period
// (Demers et al., "Epidemic Algorithms for Replicated Database Maintenance",
// 1987: rumour mongering backed by anti-entropy). A digest is one hash over all
// records. Only when it differs are the hashes of the buckets sent, then the
// versions in the buckets that differ, then the records themselves, so that the
// data sent grows with the difference and not with the size of the fleet.
//
// The class does no I/O: callers pass in messages and the time, and get the
// messages to send.
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
#include "decisions/full_sync_limiter.h"
#include "decisions/gossip.h"
#include "decisions/membership.h"
#include "decisions/record_index.h"

namespace fireflyspar::decisions {

struct dissemination_options {
  base::random_hook random;

  // Number of peers that each push round goes to, and number of rounds for each
  // record.
  std::size_t fan_out = 3;
  int rounds = 2;

  // Maximum number of records in one push; the rest wait for the next round.
  std::size_t records_per_push = 128;

  // A reply with more records than this counts as a full sync, and
  // `full_sync_rate` limits the rate of full syncs.
  std::size_t full_sync_records = 256;
  full_sync_limiter_options full_sync_rate;

  // The tombstone of a forgotten move is gossiped for the first duration and
  // kept for the second, so that older copies of the move are refused.
  base::duration tombstone_gossip_time = std::chrono::minutes(10);
  base::duration tombstone_retention = std::chrono::hours(6);
};

class dissemination {
 public:
  // `members` and `configuration` must outlive this object.
  dissemination(dissemination_options options, membership& members,
                configuration_store& configuration);

  // Indexes the records of members that changed and queues them for pushing,
  // and expires old tombstones. Must be called after every event that is passed
  // to the membership.
  void ProcessMemberChanges(base::instant now);

  // Returns whether members or moves changed since the last call.
  bool TakeChanged();

  // Merges a move from this node or another. Returns whether it changed
  // anything.
  bool Offer(const move& received, base::instant now);

  // Deletes a move and pushes a tombstone, so that old copies are refused.
  void Forget(const std::string& move_id, base::instant now);

  // Queues the version of a changed configuration for pushing.
  void ConfigurationChanged();

  // Returns whether there is anything to push.
  bool HasUpdates() const;

  // Returns the message of one push round, and counts that round for every
  // record in it.
  gossip MakePush();

  // Returns the message that opens a comparison of digests.
  gossip MakeExchange();

  // Merges a message and returns the reply.
  gossip HandleMessage(const gossip& message, base::instant now);

  // Merges a reply. Returns the next message, or nothing when the comparison is
  // finished.
  std::optional<gossip> HandleReply(const gossip& reply, base::instant now);

  // Returns the peers to push to now: a few of this node's data centre and, if
  // this node is a bridge, one of each other data centre.
  std::vector<member_record> PushTargets();

  // Returns the peers of other data centres to compare with now; none unless
  // this node is a bridge.
  std::vector<member_record> BridgeTargets();

  // Returns the peers to name to a node whose full sync is refused.
  std::vector<base::address> Alternatives() const;

  const std::map<std::string, move>& Moves() const { return moves_; }
  std::uint64_t RootHash() const { return index_.RootHash(); }

 private:
  struct tombstone {
    base::instant since;
    bool gossip_expired = false;
  };

  gossip Header() const;
  void MergeRecords(const gossip& message, base::instant now);
  void IndexMember(const std::string& node_id);
  void IndexMove(const std::string& move_id);
  void QueuePush(std::uint64_t key);
  void AddRecord(std::uint64_t key, gossip& message) const;

  // Adds to `reply` the newer copy of each record that the sender holds in an
  // older version, and the tombstone of each forgotten move. This also keeps
  // out old copies of records that are no longer gossiped.
  void AddNewerCopies(const gossip& received, gossip& reply) const;
  void AddMissingRecords(const gossip& message, gossip& reply,
                         base::instant now);
  bool AllowFullSync(std::size_t records, gossip& reply, base::instant now);
  void ExpireTombstones(base::instant now);
  bool IsBridge();

  dissemination_options options_;
  membership& members_;
  configuration_store& configuration_;
  std::map<std::string, move> moves_;
  std::map<std::string, tombstone> tombstones_;
  record_index index_;
  std::map<std::uint64_t, int> pending_pushes_;  // Rounds left, by record key.
  int configuration_rounds_ = 0;
  bool changed_ = true;
  std::optional<bool> is_bridge_;  // Cached until members change.
  full_sync_limiter full_sync_limiter_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_DISSEMINATION_H_
