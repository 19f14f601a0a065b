#include "gossip_simulation.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace fireflyspar::decisions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::duration kStepTime = milliseconds(100);
constexpr base::duration kAnswerTimeout = seconds(1);
constexpr std::size_t kNodes = 6;
constexpr std::size_t kMaxHistory = 4000;

std::string DataCentreOf(const std::string& id) {
  return id < "3" ? "fukuoka" : "kumamoto";
}

base::result<config::snapshot_ptr> MakeUnchecked(config::version_id id,
                                                 std::string text) {
  if (base::ContentHash(text) != id.hash) {
    return base::Fail(base::error_kind::kMalformedMessage, "hash differs");
  }
  auto made = std::make_shared<config::snapshot>();
  made->id = std::move(id);
  made->text = std::move(text);
  return config::snapshot_ptr(made);
}

}  // namespace

gossip_simulation::gossip_simulation(std::uint64_t seed, merge_rules rules)
    : rules_(std::move(rules)), random_(base::SeededRandom(seed)) {
  for (std::size_t i = 0; i < kNodes; ++i) ids_.push_back(std::to_string(i));
  for (const std::string& id : ids_) Start(id);
}

gossip_simulation::running_node* gossip_simulation::Running(
    const std::string& id) {
  const auto found = nodes_.find(id);
  return found == nodes_.end() ? nullptr : &found->second;
}

bool gossip_simulation::IsConnected(const std::string& from,
                                    const std::string& to) const {
  return !is_partitioned_ || DataCentreOf(from) == DataCentreOf(to);
}

std::string gossip_simulation::IdOf(const base::address& address) {
  return std::to_string(address.port);
}

void gossip_simulation::Start(const std::string& id) {
  now_ += milliseconds(1);
  left_.erase(id);
  running_node node{.id = id, .data_centre = DataCentreOf(id)};
  const base::address address{
      .ip = "10.0.0.1", .port = static_cast<std::uint16_t>(std::stoi(id))};
  node.members = std::make_unique<membership>(membership_options{
      .self = {.node_id = id,
               .data_centre = node.data_centre,
               .incarnation =
                   static_cast<std::uint64_t>(now_.time_since_epoch().count()),
               .sequence = 1,
               .rpc_address = address},
      .random = random_,
      .supersedes = rules_.supersedes});
  node.configuration =
      std::make_unique<configuration_store>(configuration_store_options{
          .replaces = rules_.replaces, .make_snapshot = MakeUnchecked});
  node.disseminator =
      std::make_unique<dissemination>(dissemination_options{.random = random_},
                                      *node.members, *node.configuration);
  nodes_.insert_or_assign(id, std::move(node));
  nodes_.at(id).disseminator->ProcessMemberChanges(now_);
}

config::snapshot_ptr gossip_simulation::NextConfiguration() {
  ++last_version_;
  const std::string text = "the text of " + std::to_string(last_version_);
  return *MakeUnchecked(
      {.version = last_version_, .hash = base::ContentHash(text)}, text);
}

void gossip_simulation::Step(std::uint32_t code) {
  if (!violation_.empty()) return;
  const std::uint32_t kind = code % 16;
  const std::uint32_t rest = code / 16;
  const std::string& id = ids_[rest % ids_.size()];
  running_node* node = Running(id);
  now_ += kStepTime;
  for (auto& [each, running] : nodes_) Tick(running);
  if (kind < 8 && !in_flight_.empty()) {
    // Delivers any of the messages in flight; some are delivered twice, some
    // are dropped.
    const std::size_t chosen = rest % in_flight_.size();
    const message sent = in_flight_[chosen];
    if (kind != 7) {
      in_flight_.erase(in_flight_.begin() +
                       static_cast<std::ptrdiff_t>(chosen));
    }
    if (kind != 6) Deliver(sent);
  } else if (kind == 8) {
    DeliverAll();
  } else if (kind == 9) {
    nodes_.erase(id);
  } else if (kind == 10 && node == nullptr) {
    Start(id);
  } else if (kind == 11) {
    is_partitioned_ = !is_partitioned_;
  } else if (kind == 12 && node != nullptr) {
    if (node->configuration->Offer(NextConfiguration())) {
      node->disseminator->ConfigurationChanged();
    }
  } else if (kind == 13 && node != nullptr) {
    node->members->SetServer(
        {.service = "s", .slots = static_cast<int>(rest % 100)}, now_);
  } else if (kind == 14 && node != nullptr) {
    node->members->Leave(now_);
    left_.insert(id);
  } else if (kind == 15 && node != nullptr) {
    move value{.id = std::to_string(rest % 3)};
    if (rest % 2 == 0) value.state = move_state::kRolledBack;
    node->disseminator->Offer(value, now_);
  }
  for (auto& [each, running] : nodes_) Check(running);
}

void gossip_simulation::Tick(running_node& node) {
  std::vector<std::uint64_t> timed_out;
  for (const auto& [number, deadline] : node.probes) {
    if (deadline <= now_) timed_out.push_back(number);
  }
  for (const std::uint64_t number : timed_out) {
    node.probes.erase(number);
    node.members->OnProbe(number, false, now_);
  }
  if (node.fetch_ends <= now_) node.is_fetching = false;
  node.members->Tick(now_);
  node.disseminator->ProcessMemberChanges(now_);
  SendProbes(node);
  if (node.disseminator->HasUpdates()) PushUpdates(node);
  if (random_() % 5 == 0) StartExchanges(node);
}

void gossip_simulation::SendProbes(running_node& node) {
  const membership_effects effects = node.members->TakeEffects();
  for (const probe& target : effects.probes) {
    node.probes[target.number] = now_ + kAnswerTimeout;
    Send({.from = node.id,
          .to = target.node_id,
          .probe = target.number,
          .payload = node.disseminator->MakeExchange()});
  }
  for (const indirect_probe& request : effects.indirect_probes) {
    const std::string& target = request.target.node_id;
    const bool reached = Running(target) != nullptr &&
                         IsConnected(node.id, target) && random_() % 2 == 0;
    node.members->OnIndirectProbe(request.target.number, reached, now_);
  }
}

void gossip_simulation::PushUpdates(running_node& node) {
  const auto targets = node.disseminator->PushTargets();
  const gossip push = node.disseminator->MakePush();
  for (const member_record& target : targets) {
    Send({.from = node.id, .to = target.node_id, .payload = push});
  }
}

void gossip_simulation::StartExchanges(running_node& node) {
  for (const member_record& peer : node.disseminator->BridgeTargets()) {
    Send({.from = node.id,
          .to = peer.node_id,
          .payload = node.disseminator->MakeExchange()});
  }
  // Seeds come from the platform's roster, and some of them are stale.
  const std::string& seed = ids_[random_() % ids_.size()];
  if (seed == node.id) return;
  Send({.from = node.id,
        .to = seed,
        .payload = node.disseminator->MakeExchange()});
}

void gossip_simulation::Send(message sent) {
  if (history_.size() < kMaxHistory) history_.push_back(sent);
  in_flight_.push_back(std::move(sent));
}

void gossip_simulation::Deliver(const message& sent) {
  running_node* node = Running(sent.to);
  if (node == nullptr || !IsConnected(sent.from, sent.to)) return;
  if (sent.is_answer) {
    DeliverAnswer(*node, sent);
  } else {
    DeliverRequest(*node, sent);
  }
  node->disseminator->ProcessMemberChanges(now_);
}

void gossip_simulation::DeliverRequest(running_node& node,
                                       const message& sent) {
  message answer{
      .from = sent.to, .to = sent.from, .is_answer = true, .probe = sent.probe};
  if (sent.payload) {
    answer.payload = node.disseminator->HandleMessage(*sent.payload, now_);
    FetchIfNewer(node, *sent.payload);
  } else if (node.configuration->Current() != nullptr) {
    answer.fetched = node.configuration->MessageFor(*sent.fetch);
  }
  Send(std::move(answer));
}

void gossip_simulation::DeliverAnswer(running_node& node, const message& sent) {
  if (sent.fetched) {
    node.is_fetching = false;
    const auto taken = node.configuration->Apply(*sent.fetched);
    if (taken && *taken) node.disseminator->ConfigurationChanged();
    if (!taken) Send({.from = node.id, .to = sent.from, .fetch = ""});
    return;
  }
  if (!sent.payload) return;
  if (node.probes.erase(sent.probe) > 0) {
    node.members->OnProbe(sent.probe, true, now_);
  }
  FetchIfNewer(node, *sent.payload);
  auto next = node.disseminator->HandleReply(*sent.payload, now_);
  if (next) {
    Send({.from = node.id, .to = sent.from, .payload = std::move(next)});
  }
}

void gossip_simulation::FetchIfNewer(running_node& node,
                                     const gossip& payload) {
  if (payload.configuration <= node.configuration->Version()) return;
  if (node.is_fetching) return;
  node.is_fetching = true;
  node.fetch_ends = now_ + kAnswerTimeout;
  Send({.from = node.id,
        .to = payload.sender,
        .fetch = node.configuration->Hash()});
}

void gossip_simulation::DeliverAll() {
  for (const message& sent : std::exchange(in_flight_, {})) Deliver(sent);
}

void gossip_simulation::Settle(base::duration time) {
  is_partitioned_ = false;
  const base::instant end = now_ + time;
  while (now_ < end && violation_.empty()) {
    now_ += kStepTime;
    for (auto& [id, node] : nodes_) Tick(node);
    // Four rounds cover requests, their answers and the messages that follow
    // from them.
    for (int hop = 0; hop < 4; ++hop) DeliverAll();
    for (auto& [id, node] : nodes_) Check(node);
  }
}

void gossip_simulation::ReplayHistory() {
  const std::vector<message> old = history_;
  for (const message& sent : old) {
    Deliver(sent);
    if (running_node* node = Running(sent.to)) Check(*node);
  }
}

void gossip_simulation::Check(running_node& node) {
  const std::uint64_t version = node.configuration->Version();
  if (version < node.greatest_seen) {
    violation_ = "node " + node.id + " went back from version " +
                 std::to_string(node.greatest_seen) + " to " +
                 std::to_string(version);
  }
  node.greatest_seen = version;
  for (const auto& [id, held] : node.members->Members()) {
    member_record& seen = node.seen[id];
    if (Supersedes(seen, held.record)) {
      violation_ = "node " + node.id + " went back to an older record of " + id;
    }
    seen = held.record;
  }
}

bool gossip_simulation::HasLiveProber(const std::string& id) const {
  return std::ranges::any_of(nodes_, [&](const auto& entry) {
    return entry.second.data_centre == DataCentreOf(id) &&
           !left_.contains(entry.first);
  });
}

std::string gossip_simulation::NotConverged() const {
  std::uint64_t greatest = 0;
  std::uint64_t root = 0;
  for (const auto& [id, node] : nodes_) {
    greatest = std::max(greatest, node.configuration->Version());
    root = node.disseminator->RootHash();
  }
  for (const auto& [id, node] : nodes_) {
    if (node.configuration->Version() != greatest) {
      return "node " + id + " holds version " +
             std::to_string(node.configuration->Version()) + ", not " +
             std::to_string(greatest);
    }
    if (node.disseminator->RootHash() != root) {
      return "records differ at node " + id;
    }
    for (const std::string& other : ids_) {
      if (!HasLiveProber(other)) continue;
      const held_member* held = node.members->Find(other);
      const bool lives = held != nullptr && IsLiving(held->record);
      const bool should_live = nodes_.contains(other) && !left_.contains(other);
      if (lives != should_live) {
        return "node " + id + " regards " + other + " as " +
               (lives ? "living" : "ended");
      }
    }
  }
  return "";
}

}  // namespace fireflyspar::decisions
