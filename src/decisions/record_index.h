// Indexes the copies of records that a node holds, in a form that two nodes can
// compare with few bytes. Records are assigned to buckets by their key. Each
// bucket has one hash, which a change updates in constant time, and a root hash
// covers all buckets.
#ifndef FIREFLYSPAR_DECISIONS_RECORD_INDEX_H_
#define FIREFLYSPAR_DECISIONS_RECORD_INDEX_H_

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "decisions/gossip.h"

namespace fireflyspar::decisions {

inline constexpr std::size_t kBuckets = 64;

// Return the key of a record, which is the same on every node.
std::uint64_t MemberKey(std::string_view node_id);
std::uint64_t MoveKey(std::string_view move_id);

record_version VersionOf(const member_record& record);
record_version VersionOf(const move& value);
record_version TombstoneVersion(std::string_view move_id);

class record_index {
 public:
  // The record that a key stands for.
  struct entry {
    record_version version;
    std::string id;  // Node id or move id.
    bool is_move = false;
  };

  // Inserts the record, replacing an earlier copy.
  void Set(entry value);
  void Erase(std::uint64_t key);
  const entry* Find(std::uint64_t key) const;

  // Returns the hash over all buckets. It is never zero, which in a message
  // means that no comparison is asked for.
  std::uint64_t RootHash() const;
  std::span<const std::uint64_t, kBuckets> BucketHashes() const {
    return hashes_;
  }

  // Returns the indices of the buckets whose hash differs from the given one;
  // none unless a hash is given for each bucket.
  std::vector<std::uint32_t> Differing(
      std::span<const std::uint64_t> hashes) const;

  // Returns the entries of one bucket.
  std::vector<const entry*> InBucket(std::uint32_t bucket) const;

 private:
  std::array<std::uint64_t, kBuckets> hashes_{};
  std::array<std::unordered_map<std::uint64_t, entry>, kBuckets> buckets_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_RECORD_INDEX_H_
