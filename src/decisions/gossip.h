// What one message between two nodes carries. Everything in it is a value that
// merges (a member record, a move, a version that only grows), so that late,
// doubled, crossed and lost messages do no harm, and one type serves for
// pushing news, for comparing digests and for sending what differs.
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

// Which copy of a record a node holds, without the record itself. For a member
// `major` is the incarnation and `minor` the sequence and state; for a move
// `major` is the hash of its content.
struct record_version {
  std::uint64_t key = 0;
  std::uint64_t major = 0;
  std::uint64_t minor = 0;

  bool operator==(const record_version&) const = default;
};

struct gossip {
  std::string sender;            // Node id.
  base::address sender_address;  // RPC address.

  // Version of the configuration that the sender holds; zero: none.
  std::uint64_t configuration = 0;

  // One hash over all records. Zero: the sender does not ask to compare.
  std::uint64_t root_hash = 0;

  // In an answer to a root hash that differs: one hash for each bucket.
  std::vector<std::uint64_t> bucket_hashes;

  // The listed buckets, and the versions of all records in them.
  std::vector<std::uint32_t> listed_buckets;
  std::vector<record_version> versions;

  // Keys of records of which the receiver has a later copy.
  std::vector<std::uint64_t> wanted;

  std::vector<member_record> members;
  std::vector<move> moves;
  std::vector<std::string> forgotten_moves;

  // In place of many records, when the sender is busy: peers to ask instead.
  std::vector<base::address> try_instead;

  bool operator==(const gossip&) const = default;
};

// What a message is for, as the label of its counters.
std::string_view KindOf(const gossip& message);

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_GOSSIP_H_
