#include "decisions/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fireflyspar::decisions {
namespace {

constexpr base::duration kRecordExpiryInterval = std::chrono::seconds(5);

// Shuffles the values by the Fisher-Yates algorithm with the given random
// source.
template <typename T>
void Shuffle(std::vector<T>& values, const base::random_hook& random) {
  for (std::size_t left = values.size(); left > 1; --left) {
    std::swap(values[left - 1], values[random() % left]);
  }
}

}  // namespace

membership::membership(membership_options options)
    : options_(std::move(options)), self_(options_.self) {
  members_[self_.node_id].record = self_;
  changed_.push_back(self_.node_id);
}

void membership::Tick(base::instant now) {
  NoticePause(now);
  ExpireSuspicions(now);
  if (now >= next_record_expiry_) ExpireRecords(now);
  if (now < next_period_) return;
  next_period_ = now + options_.probe_period;
  ++periods_;
  if (self_.state == node_state::kLeft) return;
  ProbeNext();
  if (periods_ % options_.periods_between_dead_probes == 0) ProbeDeadMember();
}

void membership::NoticePause(base::instant now) {
  const bool first = last_event_ == base::instant{};
  const bool paused = !first && now - last_event_ > options_.pause_threshold;
  last_event_ = std::max(last_event_, now);
  if (!paused) return;
  // Probes timed out during the pause because this process did not read the
  // answers. Refutations may still be waiting to be read as well.
  running_probes_.clear();
  for (auto& [id, held] : members_) {
    if (held.record.state != node_state::kSuspect) continue;
    held.suspicion_expires = now + SuspicionTimeout();
  }
}

void membership::Probe(const member_record& target) {
  const std::uint64_t number = next_probe_number_++;
  running_probes_[number] = {.node_id = target.node_id,
                             .address = target.rpc_address,
                             .incarnation = target.incarnation,
                             .sequence = target.sequence};
  effects_.probes.push_back({.number = number,
                             .node_id = target.node_id,
                             .address = target.rpc_address});
}

void membership::ProbeNext() {
  // Members are probed in turn in a random order, so that each is certain to be
  // probed within one round; drawing a member for each probe would only make
  // that likely.
  for (int refills = 0; refills < 2;) {
    if (probe_order_.empty()) {
      ++refills;
      for (const member_record* peer : LivingPeers(self_.data_centre)) {
        probe_order_.push_back(peer->node_id);
      }
      Shuffle(probe_order_, options_.random);
      if (probe_order_.empty()) return;
    }
    const held_member* next = Find(probe_order_.back());
    probe_order_.pop_back();
    if (next == nullptr || !IsLiving(next->record)) continue;
    Probe(next->record);
    return;
  }
}

void membership::ProbeDeadMember() {
  std::vector<const member_record*> dead;
  for (const auto& [id, held] : members_) {
    const member_record& record = held.record;
    if (record.state == node_state::kDead &&
        record.data_centre == self_.data_centre) {
      dead.push_back(&record);
    }
  }
  if (dead.empty()) return;
  Probe(*dead[options_.random() % dead.size()]);
}

void membership::OnProbe(std::uint64_t number, bool answered,
                         base::instant now) {
  NoticePause(now);
  const auto found = running_probes_.find(number);
  if (found == running_probes_.end()) return;
  const running_probe& running = found->second;
  const held_member* target = Find(running.node_id);
  if (answered || target == nullptr || !IsLiving(target->record)) {
    running_probes_.erase(found);
    return;
  }
  indirect_probe request{.target = {.number = number,
                                    .node_id = running.node_id,
                                    .address = running.address}};
  std::vector<const member_record*> helpers = LivingPeers(self_.data_centre);
  std::erase_if(helpers, [&](const member_record* helper) {
    return helper->node_id == running.node_id ||
           helper->state != node_state::kAlive;
  });
  Shuffle(helpers, options_.random);
  helpers.resize(std::min(helpers.size(), options_.indirect_probes));
  if (helpers.empty()) {
    OnIndirectProbe(number, false, now);
    return;
  }
  for (const member_record* helper : helpers) {
    request.helpers.push_back(helper->rpc_address);
  }
  effects_.indirect_probes.push_back(std::move(request));
}

void membership::OnIndirectProbe(std::uint64_t number, bool reached,
                                 base::instant now) {
  NoticePause(now);
  const auto found = running_probes_.find(number);
  if (found == running_probes_.end()) return;
  const running_probe failed = std::move(found->second);
  running_probes_.erase(found);
  if (!reached) Suspect(failed, now);
}

void membership::Suspect(const running_probe& failed, base::instant now) {
  const held_member* held = Find(failed.node_id);
  if (held == nullptr || held->record.state != node_state::kAlive) return;
  // A newer record than the probed one shows that the member was alive since.
  if (held->record.incarnation != failed.incarnation ||
      held->record.sequence != failed.sequence) {
    return;
  }
  member_record suspect = held->record;
  suspect.state = node_state::kSuspect;
  Store(suspect, now);
}

void membership::ExpireSuspicions(base::instant now) {
  std::vector<member_record> dead;
  for (const auto& [id, held] : members_) {
    if (held.record.state == node_state::kSuspect &&
        held.suspicion_expires <= now) {
      dead.push_back(held.record);
    }
  }
  for (member_record& record : dead) {
    record.state = node_state::kDead;
    Store(record, now);
  }
}

void membership::ExpireRecords(base::instant now) {
  next_record_expiry_ = now + kRecordExpiryInterval;
  for (auto& [id, held] : members_) {
    if (IsLiving(held.record) || held.gossip_expired || id == self_.node_id) {
      continue;
    }
    if (now - held.changed < options_.departed_gossip_time) continue;
    held.gossip_expired = true;
    changed_.push_back(id);
  }
  std::erase_if(members_, [&](const auto& entry) {
    const held_member& held = entry.second;
    return held.gossip_expired &&
           now - held.changed > options_.departed_retention;
  });
}

bool membership::Merge(const member_record& record, base::instant now) {
  NoticePause(now);
  if (record.node_id.empty()) return false;
  if (record.node_id == self_.node_id) {
    if (!options_.supersedes(record, self_)) return false;
    Refute(record, now);
    return true;
  }
  const held_member* held = Find(record.node_id);
  if (held != nullptr && !options_.supersedes(record, held->record)) {
    return false;
  }
  Store(record, now);
  return true;
}

void membership::Refute(const member_record& received, base::instant now) {
  // A greater incarnation under this node's id comes from an earlier run whose
  // clock was ahead of the present one; the node takes a greater one still.
  if (received.incarnation > self_.incarnation) {
    self_.incarnation = received.incarnation + 1;
  }
  self_.sequence = std::max(self_.sequence, received.sequence) + 1;
  SelfChanged(now);
}

void membership::SetServer(const server_record& server, base::instant now) {
  if (self_.server == server) return;
  self_.server = server;
  ++self_.sequence;
  SelfChanged(now);
}

void membership::Leave(base::instant now) {
  if (self_.state == node_state::kLeft) return;
  self_.state = node_state::kLeft;
  ++self_.sequence;
  SelfChanged(now);
}

void membership::SelfChanged(base::instant now) { Store(self_, now); }

void membership::Store(const member_record& record, base::instant now) {
  held_member& held = members_[record.node_id];
  held.record = record;
  held.changed = now;
  held.gossip_expired = false;
  if (record.state == node_state::kSuspect) {
    held.suspicion_expires = now + SuspicionTimeout();
  }
  changed_.push_back(record.node_id);
}

const held_member* membership::Find(std::string_view node_id) const {
  const auto found = members_.find(node_id);
  return found == members_.end() ? nullptr : &found->second;
}

std::vector<const member_record*> membership::LivingPeers(
    std::string_view data_centre) const {
  std::vector<const member_record*> peers;
  for (const auto& [id, held] : members_) {
    if (id != self_.node_id && IsLiving(held.record) &&
        held.record.data_centre == data_centre) {
      peers.push_back(&held.record);
    }
  }
  return peers;
}

std::set<std::string> membership::OtherDataCentres() const {
  std::set<std::string> others;
  for (const auto& [id, held] : members_) {
    if (IsLiving(held.record) && held.record.data_centre != self_.data_centre) {
      others.insert(held.record.data_centre);
    }
  }
  return others;
}

base::duration membership::SuspicionTimeout() const {
  // With the defaults: 6 * 1 * 500 ms = 3 s for 10 members, and 8.1 s for 500.
  const auto members =
      static_cast<double>(LivingPeers(self_.data_centre).size() + 1);
  const double factor =
      options_.suspicion_multiplier * std::max(1.0, std::log10(members));
  return base::duration(static_cast<std::int64_t>(
      static_cast<double>(options_.probe_period.count()) * factor));
}

membership_effects membership::TakeEffects() {
  return std::exchange(effects_, {});
}

std::vector<std::string> membership::TakeChanged() {
  return std::exchange(changed_, {});
}

}  // namespace fireflyspar::decisions
