#include "decisions/record_index.h"

#include <utility>

#include "base/hash.h"

namespace fireflyspar::decisions {
namespace {

std::string_view AsBytes(std::span<const std::uint64_t> words) {
  return {reinterpret_cast<const char*>(words.data()), words.size_bytes()};
}

std::uint64_t HashOf(const record_version& version) {
  const std::array words{version.key, version.major, version.minor};
  return base::FastHash(AsBytes(words));
}

std::size_t BucketOf(std::uint64_t key) { return key % kBuckets; }

// Appends a field with its length in front, so that different moves never give
// the same text.
void Append(std::string& out, std::string_view field) {
  out.append(std::to_string(field.size())).append(":").append(field);
}

}  // namespace

std::uint64_t MemberKey(std::string_view node_id) {
  return base::FastHash("member\n" + std::string(node_id));
}

std::uint64_t MoveKey(std::string_view move_id) {
  return base::FastHash("move\n" + std::string(move_id));
}

record_version VersionOf(const member_record& record) {
  constexpr int kStateBits = 2;
  return {.key = MemberKey(record.node_id),
          .major = record.incarnation,
          .minor = (record.sequence << kStateBits) |
                   static_cast<std::uint64_t>(record.state)};
}

record_version VersionOf(const move& value) {
  std::string content;
  Append(content, value.id);
  Append(content, std::to_string(value.proven_percent));
  Append(content,
         std::to_string(value.share_capped_until.time_since_epoch().count()));
  Append(content, value.service);
  Append(content, value.old_version);
  Append(content, value.new_version);
  Append(content, std::to_string(value.start.time_since_epoch().count()));
  Append(content, std::to_string(value.complete_by.time_since_epoch().count()));
  Append(content, value.operation_id);
  Append(content, std::to_string(static_cast<int>(value.state)));
  Append(content, value.is_final ? "final" : "");
  Append(content, value.evidence);
  for (const std::string& name : value.ready_data_centres) {
    Append(content, name);
  }
  return {.key = MoveKey(value.id), .major = base::FastHash(content)};
}

record_version TombstoneVersion(std::string_view move_id) {
  return {.key = MoveKey(move_id), .minor = 1};
}

void record_index::Set(entry value) {
  Erase(value.version.key);
  const std::size_t bucket = BucketOf(value.version.key);
  hashes_[bucket] ^= HashOf(value.version);
  buckets_[bucket].emplace(value.version.key, std::move(value));
}

void record_index::Erase(std::uint64_t key) {
  const std::size_t bucket = BucketOf(key);
  const auto found = buckets_[bucket].find(key);
  if (found == buckets_[bucket].end()) return;
  hashes_[bucket] ^= HashOf(found->second.version);
  buckets_[bucket].erase(found);
}

const record_index::entry* record_index::Find(std::uint64_t key) const {
  const auto& bucket = buckets_[BucketOf(key)];
  const auto found = bucket.find(key);
  return found == bucket.end() ? nullptr : &found->second;
}

std::uint64_t record_index::RootHash() const {
  const std::uint64_t hash = base::FastHash(AsBytes(hashes_));
  return hash == 0 ? 1 : hash;
}

std::vector<std::uint32_t> record_index::Differing(
    std::span<const std::uint64_t> hashes) const {
  std::vector<std::uint32_t> differing;
  if (hashes.size() != kBuckets) return differing;
  for (std::uint32_t bucket = 0; bucket < kBuckets; ++bucket) {
    if (hashes[bucket] != hashes_[bucket]) differing.push_back(bucket);
  }
  return differing;
}

std::vector<const record_index::entry*> record_index::InBucket(
    std::uint32_t bucket) const {
  std::vector<const entry*> entries;
  if (bucket >= kBuckets) return entries;
  for (const auto& [key, value] : buckets_[bucket]) entries.push_back(&value);
  return entries;
}

}  // namespace fireflyspar::decisions
