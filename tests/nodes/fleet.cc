#include "fleet.h"

#include <algorithm>
#include <thread>

#include "base/hash.h"
#include "config/preset_text.h"
#include "decisions/membership.h"

namespace fireflyspar::nodes {
namespace {

base::address Loopback() { return {.ip = "127.0.0.1", .port = 0}; }

}  // namespace

bool Eventually(const std::function<bool()>& condition,
                std::chrono::seconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

config::snapshot_ptr Configuration(std::uint64_t version) {
  config::preset preset{.name = "preset-" + std::to_string(version),
                        .data_centres = {"fukuoka"}};
  const std::string text = config::ToText(preset);
  const config::version_id id{.version = version,
                              .hash = base::ContentHash(text)};
  return *config::MakeSnapshot(id, text);
}

fleet::~fleet() {
  for (auto& [id, node] : nodes_) node->running.reset();
}

fleet_node& fleet::Add(const std::string& id, const std::string& data_centre) {
  auto& node = nodes_[id];
  node = std::make_unique<fleet_node>();
  node->id = id;
  node->data_centre = data_centre;
  Start(*node);
  return *node;
}

void fleet::Start(fleet_node& node) {
  const std::string data_centre = node.data_centre;
  node.running = std::make_unique<mesh>(mesh_options{
      .node_id = node.id,
      .data_centre = data_centre,
      .region = "kyushu",
      .rpc_address = Loopback(),
      .gate_address = {.ip = "127.0.0.1", .port = 1},
      .seeds = seeds_,
      .clock = base::SystemClock(),
      .random = base::SystemRandom(),
      .metrics = &node.metrics,
      .max_pooled_evidence_nodes = max_pooled_evidence_nodes,
      .may_connect =
          [this, data_centre](const base::address& peer) {
            return MayConnect(data_centre, peer);
          },
      .on_change =
          [&node](const decisions::fleet_view_ptr& view) {
            const bool has_dead = std::ranges::any_of(
                view->members, [](const decisions::member_record& member) {
                  return member.state == decisions::node_state::kDead;
                });
            if (has_dead) ++node.views_with_dead_member;
          },
      .on_evidence =
          [&node](const auto&) {
            ++node.evidence_reports;
            if (node.during_evidence) node.during_evidence();
          }});
  const base::status started = node.running->Start();
  if (!started) throw std::runtime_error(started.Failure().detail);
  const base::address bound = node.running->RpcAddress();
  const std::lock_guard lock(mutex_);
  data_centre_of_[bound] = data_centre;
  if (seeds_.empty()) seeds_.push_back(bound);
}

void fleet::Kill(const std::string& id) { At(id).running.reset(); }

fleet_node& fleet::Restart(const std::string& id) {
  Start(At(id));
  return At(id);
}

void fleet::SetPartitioned(const std::string& data_centre,
                           bool is_partitioned) {
  const std::lock_guard lock(mutex_);
  if (is_partitioned) {
    partitioned_data_centres_.insert(data_centre);
  } else {
    partitioned_data_centres_.erase(data_centre);
  }
}

bool fleet::MayConnect(const std::string& data_centre,
                       const base::address& peer) {
  const std::lock_guard lock(mutex_);
  const auto found = data_centre_of_.find(peer);
  if (found == data_centre_of_.end() || found->second == data_centre) {
    return true;
  }
  return !partitioned_data_centres_.contains(data_centre) &&
         !partitioned_data_centres_.contains(found->second);
}

std::vector<fleet_node*> fleet::Running() {
  std::vector<fleet_node*> running;
  for (const auto& [id, node] : nodes_) {
    if (node->running) running.push_back(node.get());
  }
  return running;
}

bool fleet::AllSeeSameMembers() {
  const auto running = Running();
  return std::ranges::all_of(running, [&](const fleet_node* node) {
    const auto view = node->running->View();
    const auto living = std::ranges::count_if(
        view->members, [](const decisions::member_record& record) {
          return record.state == decisions::node_state::kAlive;
        });
    if (living != static_cast<std::ptrdiff_t>(running.size())) return false;
    return std::ranges::all_of(running, [&](const fleet_node* other) {
      const auto record = RecordAt(*node, other->id);
      return record.state == decisions::node_state::kAlive &&
             record.rpc_address == other->running->RpcAddress();
    });
  });
}

bool fleet::AllHaveVersion(std::uint64_t version,
                           const std::string& data_centre) {
  return std::ranges::all_of(Running(), [&](const fleet_node* node) {
    return (!data_centre.empty() && node->data_centre != data_centre) ||
           VersionAt(*node) == version;
  });
}

std::uint64_t VersionAt(const fleet_node& node) {
  const auto view = node.running->View();
  return view->configuration ? view->configuration->id.version : 0;
}

decisions::member_record RecordAt(const fleet_node& node,
                                  const std::string& id) {
  const auto view = node.running->View();
  const auto found =
      std::ranges::find(view->members, id, &decisions::member_record::node_id);
  return found == view->members.end() ? decisions::member_record{} : *found;
}

}  // namespace fireflyspar::nodes
