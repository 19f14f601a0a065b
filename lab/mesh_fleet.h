// Many meshes in one process, for measuring how news spreads and what it costs.
// In one process, so the processor time of each is that of its own thread and
// memory is a share of the whole.
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

// What the whole fleet has used so far.
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

  // Waits until every node knows every other; false when that takes too long.
  bool WaitUntilJoined();

  // Waits until all nodes hold the version; when the last one took it, or the
  // clock's epoch when that takes too long.
  lab_clock::time_point WaitUntilHeld(std::uint64_t version);

  mesh_usage Usage() const;

  // Payload bytes sent, by kind of message.
  std::int64_t BytesSent(const std::string& kind) const;

 private:
  struct node {
    base::metrics metrics;
    std::mutex mutex;  // Guards the two below.
    std::uint64_t version = 0;
    lab_clock::time_point taken;
    std::unique_ptr<nodes::mesh> running;
  };

  void Start(node& started, std::size_t index,
             const mesh_fleet_options& options);

  std::vector<base::address> seeds_;
  std::vector<std::unique_ptr<node>> nodes_;
};

// A preset of so many services with two routes each, under the given version;
// one route's timeout differs from version to version.
config::snapshot_ptr MakeChange(std::uint64_t version, std::size_t services);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_MESH_FLEET_H_
