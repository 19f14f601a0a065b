// Runs several meshes in one process on loopback ports, for the tests of
// src/nodes.
#ifndef FIREFLYSPAR_TESTS_NODES_FLEET_H_
#define FIREFLYSPAR_TESTS_NODES_FLEET_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "config/snapshot.h"
#include "nodes/mesh.h"

namespace fireflyspar::nodes {

// Waits until the condition holds, and returns false if it does not within the
// limit. The limit only ends a failing test.
bool Eventually(const std::function<bool()>& condition,
                std::chrono::seconds limit = std::chrono::seconds(60));

// Returns a small configuration whose content depends only on the version.
config::snapshot_ptr Configuration(std::uint64_t version);

struct fleet_node {
  std::string id;
  std::string data_centre;
  base::metrics metrics;
  std::atomic<int> evidence_reports{0};
  std::atomic<int> views_with_dead_member{
      0};  // Number of views with a dead member.
  // Runs on the mesh's thread when evidence arrives; may block that thread.
  std::function<void()> during_evidence;
  std::unique_ptr<mesh> running;
};

class fleet {
 public:
  ~fleet();

  // mesh_options::max_pooled_evidence_nodes of the nodes that are started
  // afterwards.
  std::size_t max_pooled_evidence_nodes =
      mesh_options{}.max_pooled_evidence_nodes;

  // Starts a node whose only seed is the node that was started first.
  fleet_node& Add(const std::string& id, const std::string& data_centre);

  // Stops a node without notifying the others.
  void Kill(const std::string& id);

  // Starts a killed node again with the same id, on a new port.
  fleet_node& Restart(const std::string& id);

  // Partitions a data centre from all others, or reconnects it.
  void SetPartitioned(const std::string& data_centre, bool is_partitioned);

  fleet_node& At(const std::string& id) { return *nodes_.at(id); }
  std::vector<fleet_node*> Running();

  // Returns true when every running node sees all running nodes as alive, with
  // their present addresses, and no other node as alive.
  bool AllSeeSameMembers();

  // Returns true when all running nodes of the data centre ("" for every data
  // centre) have the configuration version.
  bool AllHaveVersion(std::uint64_t version,
                      const std::string& data_centre = "");

 private:
  void Start(fleet_node& node);
  bool MayConnect(const std::string& data_centre, const base::address& peer);

  std::mutex mutex_;  // Guards the next two members.
  std::map<base::address, std::string> data_centre_of_;
  std::set<std::string> partitioned_data_centres_;

  std::vector<base::address> seeds_;
  std::map<std::string, std::unique_ptr<fleet_node>> nodes_;
};

// Returns the node's configuration version, or zero if it has none.
std::uint64_t VersionAt(const fleet_node& node);

// Returns the node's record of the member `id`, or an empty record if it has
// none.
decisions::member_record RecordAt(const fleet_node& node,
                                  const std::string& id);

}  // namespace fireflyspar::nodes

#endif  // FIREFLYSPAR_TESTS_NODES_FLEET_H_
