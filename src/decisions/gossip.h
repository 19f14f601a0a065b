// The content of one message between two nodes. Every part is a value that
// merges (a member record, a move, a version that only grows), so delayed,
// duplicated, reordered and lost messages do no harm. The same type serves for
// pushing updates, for comparing digests and for sending the records that
// differ.
#ifndef FIREFLYSPAR_DECISIONS_GOSSIP_H_
#define FIREFLYSPAR_DECISIONS_GOSSIP_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/address.h"
#include "decisions/member.h"
#include "decisions/move.h"

namespace fireflyspar::decisions {

// Identifies the copy of a record that a node holds, without the record itself.
// For a member `major` is the incarnation, and `minor` the sequence and state;
// for a move `major` is the hash of its content.
struct record_version {
  std::uint64_t key = 0;
  std::uint64_t major = 0;
  std::uint64_t minor = 0;

  bool operator==(const record_version&) const = default;
};

struct gossip {
  std::string sender;            // Node id.
  base::address sender_address;  // For RPC.

  // Version of the configuration that the sender holds, or zero if it has none.
  std::uint64_t configuration = 0;

  // Hash over all records, or zero when the sender does not ask for a
  // comparison.
  std::uint64_t root_hash = 0;

  // One hash for each bucket, in the reply to a root hash that differs.
  std::vector<std::uint64_t> bucket_hashes;

  // Buckets whose records the sender lists, and the versions of all its records
  // in them.
  std::vector<std::uint32_t> listed_buckets;
  std::vector<record_version> versions;

  // Keys of the records that the sender requests, because the receiver has a
  // later or different copy.
  std::vector<std::uint64_t> requested_keys;

  std::vector<member_record> members;
  std::vector<move> moves;

  // Ids of moves that were forgotten: tombstones against older copies.
  std::vector<std::string> tombstones;

  // Peers to ask instead, sent in place of many records when the sender has
  // reached its limit of full syncs.
  std::vector<base::address> try_instead;

  bool operator==(const gossip&) const = default;
};

// Returns the kind of the message, which labels its counters.
std::string_view KindOf(const gossip& message);

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_GOSSIP_H_
