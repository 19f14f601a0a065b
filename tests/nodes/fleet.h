// Several meshes in one process on loopback ports, for the tests of src/nodes.
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

// Waits until the condition holds; the limit only ends a test that fails.
bool Eventually(const std::function<bool()>& condition,
                std::chrono::seconds limit = std::chrono::seconds(60));

// A configuration version whose content is fixed by the version and the size.
config::snapshot_ptr Configuration(std::uint64_t version);

struct fleet_node {
  std::string id;
  std::string data_centre;
  base::metrics metrics;
  std::atomic<int> evidence_reports{0};
  std::atomic<int> deaths_seen{0};  // Views with a dead member in them.
  // Runs on the mesh's thread when evidence comes; may hold that thread up.
  std::function<void()> during_evidence;
  std::unique_ptr<mesh> running;
};

class fleet {
 public:
  ~fleet();

  // Of the nodes started from then on.
  std::size_t most_pooled_nodes = mesh_options{}.most_pooled_nodes;

  // Starts a node; it knows the first started node as its seed.
  fleet_node& Add(const std::string& id, const std::string& data_centre);

  // Ends a node without a word to the others.
  void Kill(const std::string& id);

  // Starts a killed node afresh, under the same id and on a new port.
  fleet_node& Restart(const std::string& id);

  // Cuts a data centre off from all others, or heals it.
  void Cut(const std::string& data_centre, bool is_cut);

  fleet_node& At(const std::string& id) { return *nodes_.at(id); }
  std::vector<fleet_node*> Running();

  // True when all running nodes see exactly the running ones as living.
  bool Agree();

  // True when all running nodes of the data centre ("" for all) hold it.
  bool AllHold(std::uint64_t version, const std::string& data_centre = "");

 private:
  void Start(fleet_node& node);
  bool MayConnect(const std::string& data_centre, const base::address& peer);

  std::mutex mutex_;  // Guards the two below.
  std::map<base::address, std::string> data_centre_of_;
  std::set<std::string> cut_;

  std::vector<base::address> seeds_;
  std::map<std::string, std::unique_ptr<fleet_node>> nodes_;
};

// The version that the node holds; zero: none.
std::uint64_t VersionAt(const fleet_node& node);

// The record of `id` as the node sees it, or an empty one.
decisions::member_record RecordAt(const fleet_node& node,
                                  const std::string& id);

}  // namespace fireflyspar::nodes

#endif  // FIREFLYSPAR_TESTS_NODES_FLEET_H_
