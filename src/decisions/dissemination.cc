#include "decisions/dissemination.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "decisions/rendezvous.h"

namespace fireflyspar::decisions {
namespace {

// Number of nodes of each data centre that gossip with other data centres.
constexpr std::size_t kBridges = 3;

// Number of peers named to a node whose full sync is refused.
constexpr std::size_t kAlternatives = 3;

// Returns `count` values chosen at random, or all of them in random order if
// there are fewer, by a partial shuffle.
template <typename T>
std::vector<T> Sample(std::vector<T> values, std::size_t count,
                      const base::random_hook& random) {
  count = std::min(count, values.size());
  for (std::size_t done = 0; done < count; ++done) {
    std::swap(values[done], values[done + random() % (values.size() - done)]);
  }
  values.resize(count);
  return values;
}

}  // namespace

dissemination::dissemination(dissemination_options options, membership& members,
                             configuration_store& configuration)
    : options_(std::move(options)),
      members_(members),
      configuration_(configuration),
      full_sync_limiter_(options_.full_sync_rate) {}

void dissemination::ProcessMemberChanges(base::instant now) {
  ExpireTombstones(now);
  const std::vector<std::string> changed = members_.TakeChanged();
  if (changed.empty()) return;
  changed_ = true;
  is_bridge_.reset();
  // Records that arrive in bulk, as on joining, are known to other nodes
  // already and are not pushed, except this node's own record.
  const bool bulk = changed.size() > options_.records_per_push;
  for (const std::string& node_id : changed) {
    IndexMember(node_id);
    const std::uint64_t key = MemberKey(node_id);
    if (index_.Find(key) == nullptr) continue;
    if (!bulk || node_id == members_.Self().node_id) QueuePush(key);
  }
}

bool dissemination::TakeChanged() { return std::exchange(changed_, false); }

void dissemination::IndexMember(const std::string& node_id) {
  const held_member* held = members_.Find(node_id);
  if (held == nullptr || held->gossip_expired) {
    index_.Erase(MemberKey(node_id));
    return;
  }
  index_.Set({.version = VersionOf(held->record), .id = node_id});
}

void dissemination::IndexMove(const std::string& move_id) {
  const auto forgotten = tombstones_.find(move_id);
  if (forgotten != tombstones_.end()) {
    index_.Erase(MoveKey(move_id));
    if (forgotten->second.gossip_expired) return;
    index_.Set(
        {.version = TombstoneVersion(move_id), .id = move_id, .is_move = true});
    return;
  }
  index_.Set({.version = VersionOf(moves_.at(move_id)),
              .id = move_id,
              .is_move = true});
}

void dissemination::QueuePush(std::uint64_t key) {
  pending_pushes_[key] = options_.rounds;
}

bool dissemination::Offer(const move& received, base::instant) {
  if (tombstones_.contains(received.id)) return false;
  const auto [held, added] = moves_.try_emplace(received.id, received);
  if (!added) {
    move merged = Merge(held->second, received);
    if (merged == held->second) return false;
    held->second = std::move(merged);
  }
  IndexMove(received.id);
  QueuePush(MoveKey(received.id));
  changed_ = true;
  return true;
}

void dissemination::Forget(const std::string& move_id, base::instant now) {
  if (!tombstones_.try_emplace(move_id, tombstone{.since = now}).second) {
    return;
  }
  moves_.erase(move_id);
  IndexMove(move_id);
  QueuePush(MoveKey(move_id));
  changed_ = true;
}

void dissemination::ExpireTombstones(base::instant now) {
  for (auto& [id, forgotten] : tombstones_) {
    if (forgotten.gossip_expired ||
        now - forgotten.since < options_.tombstone_gossip_time) {
      continue;
    }
    forgotten.gossip_expired = true;
    IndexMove(id);
  }
  std::erase_if(tombstones_, [&](const auto& entry) {
    return now - entry.second.since > options_.tombstone_retention;
  });
}

void dissemination::ConfigurationChanged() {
  configuration_rounds_ = options_.rounds;
}

bool dissemination::HasUpdates() const {
  return configuration_rounds_ > 0 || !pending_pushes_.empty();
}

gossip dissemination::Header() const {
  return {.sender = members_.Self().node_id,
          .sender_address = members_.Self().rpc_address,
          .configuration = configuration_.Version()};
}

gossip dissemination::MakePush() {
  gossip message = Header();
  if (configuration_rounds_ > 0) --configuration_rounds_;
  std::vector<std::uint64_t> pushed;
  for (auto& [key, rounds] : pending_pushes_) {
    if (pushed.size() == options_.records_per_push) break;
    AddRecord(key, message);
    --rounds;
    pushed.push_back(key);
  }
  for (const std::uint64_t key : pushed) {
    if (pending_pushes_.at(key) <= 0) pending_pushes_.erase(key);
  }
  return message;
}

gossip dissemination::MakeExchange() {
  gossip message = Header();
  message.root_hash = RootHash();
  return message;
}

void dissemination::AddRecord(std::uint64_t key, gossip& message) const {
  const record_index::entry* entry = index_.Find(key);
  if (entry == nullptr) return;
  if (!entry->is_move) {
    message.members.push_back(members_.Find(entry->id)->record);
  } else if (tombstones_.contains(entry->id)) {
    message.tombstones.push_back(entry->id);
  } else {
    message.moves.push_back(moves_.at(entry->id));
  }
}

void dissemination::MergeRecords(const gossip& message, base::instant now) {
  for (const member_record& record : message.members) {
    members_.Merge(record, now);
  }
  for (const std::string& id : message.tombstones) Forget(id, now);
  for (const move& value : message.moves) Offer(value, now);
  ProcessMemberChanges(now);
}

gossip dissemination::HandleMessage(const gossip& message, base::instant now) {
  MergeRecords(message, now);
  gossip reply = Header();
  AddMissingRecords(message, reply, now);
  for (const std::uint64_t key : message.requested_keys) AddRecord(key, reply);
  if (message.root_hash != 0 && message.root_hash != RootHash()) {
    const auto hashes = index_.BucketHashes();
    reply.bucket_hashes.assign(hashes.begin(), hashes.end());
  }
  AddNewerCopies(message, reply);
  // The sender is alive. If its record here says otherwise, the reply includes
  // that record so that the sender can refute it.
  const held_member* sender = members_.Find(message.sender);
  if (sender != nullptr && sender->record.state != node_state::kAlive) {
    reply.members.push_back(sender->record);
  }
  return reply;
}

void dissemination::AddNewerCopies(const gossip& received,
                                   gossip& reply) const {
  for (const member_record& record : received.members) {
    const held_member* held = members_.Find(record.node_id);
    if (held != nullptr && Supersedes(held->record, record)) {
      reply.members.push_back(held->record);
    }
  }
  for (const move& value : received.moves) {
    if (tombstones_.contains(value.id)) {
      reply.tombstones.push_back(value.id);
    }
  }
}

void dissemination::AddMissingRecords(const gossip& message, gossip& reply,
                                      base::instant now) {
  std::unordered_map<std::uint64_t, const record_version*> theirs;
  for (const record_version& version : message.versions) {
    theirs[version.key] = &version;
    if (index_.Find(version.key) == nullptr) {
      reply.requested_keys.push_back(version.key);
    }
  }
  std::vector<std::uint64_t> keys_to_send;
  for (const std::uint32_t bucket : message.listed_buckets) {
    for (const record_index::entry* entry : index_.InBucket(bucket)) {
      const record_version& mine = entry->version;
      const auto found = theirs.find(mine.key);
      if (found == theirs.end()) {
        keys_to_send.push_back(mine.key);
        continue;
      }
      const record_version& other = *found->second;
      if (mine == other) continue;
      // Versions of moves have no order, so both sides send their copies and
      // merge.
      const bool later =
          std::tie(mine.major, mine.minor) > std::tie(other.major, other.minor);
      if (entry->is_move || later) keys_to_send.push_back(mine.key);
      if (entry->is_move || !later) reply.requested_keys.push_back(mine.key);
    }
  }
  if (!AllowFullSync(keys_to_send.size(), reply, now)) return;
  for (const std::uint64_t key : keys_to_send) AddRecord(key, reply);
}

bool dissemination::AllowFullSync(std::size_t records, gossip& reply,
                                  base::instant now) {
  if (records <= options_.full_sync_records) return true;
  if (full_sync_limiter_.Admit(now)) return true;
  reply.try_instead = Alternatives();
  return false;
}

std::vector<base::address> dissemination::Alternatives() const {
  const auto peers = Sample(members_.LivingPeers(members_.Self().data_centre),
                            kAlternatives, options_.random);
  std::vector<base::address> addresses;
  addresses.reserve(peers.size());
  for (const member_record* peer : peers) {
    addresses.push_back(peer->rpc_address);
  }
  return addresses;
}

std::optional<gossip> dissemination::HandleReply(const gossip& reply,
                                                 base::instant now) {
  MergeRecords(reply, now);
  gossip next = Header();
  AddNewerCopies(reply, next);
  for (const std::uint64_t key : reply.requested_keys) AddRecord(key, next);
  next.listed_buckets = index_.Differing(reply.bucket_hashes);
  for (const std::uint32_t bucket : next.listed_buckets) {
    for (const record_index::entry* entry : index_.InBucket(bucket)) {
      next.versions.push_back(entry->version);
    }
  }
  const bool nothing_left = next.listed_buckets.empty() &&
                            next.members.empty() && next.moves.empty() &&
                            next.tombstones.empty();
  if (nothing_left) return std::nullopt;
  return next;
}

bool dissemination::IsBridge() {
  if (!is_bridge_) {
    std::vector<std::string> ids{members_.Self().node_id};
    for (const member_record* peer :
         members_.LivingPeers(members_.Self().data_centre)) {
      ids.push_back(peer->node_id);
    }
    const auto bridges = ChooseByRendezvous("bridge", ids, kBridges);
    is_bridge_ =
        std::ranges::find(bridges, members_.Self().node_id) != bridges.end();
  }
  return *is_bridge_;
}

std::vector<member_record> dissemination::PushTargets() {
  std::vector<member_record> targets = BridgeTargets();
  const auto peers = Sample(members_.LivingPeers(members_.Self().data_centre),
                            options_.fan_out, options_.random);
  for (const member_record* peer : peers) targets.push_back(*peer);
  return targets;
}

std::vector<member_record> dissemination::BridgeTargets() {
  std::vector<member_record> targets;
  if (!IsBridge()) return targets;
  for (const std::string& data_centre : members_.OtherDataCentres()) {
    const auto chosen =
        Sample(members_.LivingPeers(data_centre), 1, options_.random);
    for (const member_record* peer : chosen) targets.push_back(*peer);
  }
  return targets;
}

}  // namespace fireflyspar::decisions
