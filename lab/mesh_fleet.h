// Many meshes in one process, to measure how fast changes spread and what they
// cost. As they share a process, the processor time of a mesh is that of its
// thread, and its memory is an equal share of the process's memory.
#ifndef FIREFLYSPAR_LAB_MESH_FLEET_H_
#define FIREFLYSPAR_LAB_MESH_FLEET_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "config/snapshot.h"
#include "nodes/mesh.h"

namespace fireflyspar::lab {

using lab_clock = std::chrono::steady_clock;

struct mesh_fleet_options {
  std::size_t nodes = 12;
  std::size_t data_centres = 4;  // Two in each region.
  std::uint64_t seed = 1;
};

// The resources that the whole fleet has used so far.
struct mesh_usage {
  std::int64_t wire_bytes_sent = 0;
  std::int64_t messages_sent = 0;
  double cpu_seconds = 0;
};

class mesh_fleet {
 public:
  explicit mesh_fleet(const mesh_fleet_options& options);
  ~mesh_fleet();

  std::size_t Size() const { return nodes_.size(); }
  nodes::mesh& At(std::size_t index) { return *nodes_[index]->running; }

  // Waits until every node knows every other one; returns false on timeout.
  bool WaitUntilJoined();

  // Waits until the version, or a later one, is in force at all nodes. Returns
  // the time at which it came in force at the last node, or the clock's epoch
  // on timeout.
  lab_clock::time_point WaitUntilInForce(std::uint64_t version);

  mesh_usage Usage() const;

  // Returns the payload bytes sent in messages of one kind.
  std::int64_t BytesSent(const std::string& kind) const;

 private:
  struct node {
    base::metrics metrics;
    std::mutex mutex;           // Protects `version` and `in_force_since`.
    std::uint64_t version = 0;  // The configuration version in force.
    lab_clock::time_point in_force_since;  // When that version came in force.
    std::unique_ptr<nodes::mesh> running;
  };

  void Start(node& started, std::size_t index,
             const mesh_fleet_options& options);

  std::vector<base::address> seeds_;
  std::vector<std::unique_ptr<node>> nodes_;
};

// Makes a snapshot of a test preset that has `services` services with two
// routes each. Each version sets the timeout of one service.
config::snapshot_ptr MakeTestSnapshot(std::uint64_t version,
                                      std::size_t services);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_MESH_FLEET_H_
