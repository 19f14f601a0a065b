// A node's place among the other nodes: membership, spreading of configuration
// and of moves' verdicts, and the way for evidence to reach the judges. Runs
// one thread of its own with a Cap'n Proto event loop; every method here may be
// called from any thread and returns at once.
#ifndef FIREFLYSPAR_NODES_MESH_H_
#define FIREFLYSPAR_NODES_MESH_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/address.h"
#include "base/hooks.h"
#include "base/metrics.h"
#include "base/result.h"
#include "decisions/evidence_report.h"
#include "decisions/fleet_view.h"
#include "decisions/member.h"

namespace fireflyspar::nodes {

// The job (mesh::HasJob) of judging a move; the first kJudges nodes have it.
std::string JudgeJob(const std::string& move_id);
inline constexpr std::size_t kJudges = 2;

// The job of writing the data centre's status. Each node tells its holders
// which configuration version it has, see mesh::HeardVersions.
inline constexpr std::string_view kStatusJob = "status";
inline constexpr std::size_t kStatusHolders = 2;

inline constexpr int kMostPeersHeard = 64;

struct mesh_options {
  std::string node_id;
  std::string data_centre;
  std::string region;
  base::address rpc_address;   // Listened on.
  base::address gate_address;  // Told to the others.
  std::vector<base::address>
      seeds;  // Other nodes' RPC addresses; may be stale.
  base::clock_hook clock;
  base::random_hook random;
  base::metrics* metrics = nullptr;

  // In a fleet of at most so many nodes evidence goes to the judges of every
  // data centre, since calls are few there and each judge needs all of it.
  // Beyond it a data centre has calls enough to judge by its own, and a judge
  // would hear thousands of reports a second.
  std::size_t most_pooled_nodes = 128;

  // Whether this node may now talk to that one; a test cuts data centres off
  // through it. Empty: always.
  std::function<bool(const base::address& peer)> may_connect;

  // Called on the mesh's thread after each change of what View() gives.
  std::function<void(decisions::fleet_view_ptr)> on_change;

  // Called on the mesh's thread with a report sent to this node as a judge.
  std::function<void(const decisions::evidence_report&)> on_evidence;
};

class mesh {
 public:
  explicit mesh(mesh_options options);
  ~mesh();
  mesh(const mesh&) = delete;
  mesh& operator=(const mesh&) = delete;

  // Binds the address and starts the thread.
  base::status Start();

  // Takes the configuration if its version is greater than the one held, and
  // spreads it.
  void Offer(config::snapshot_ptr configuration);

  // Merges the move into what is held, and spreads it if it changed anything.
  void Offer(const decisions::move& move);

  // Drops a move that ended long ago and was removed at the platform.
  void Forget(const std::string& move_id);

  // Changes the record of the backend server beside this node and spreads it.
  void SetServer(const decisions::server_record& server);

  // Sends the report to the judges of its move, chosen by rendezvous hash: this
  // data centre's, and in a small fleet every other's (most_pooled_nodes).
  void SendEvidence(const decisions::evidence_report& report);

  // Adds peers to try, as found in the platform's roster.
  void AddSeeds(const std::vector<base::address>& seeds);

  // Tells the other nodes that this one is leaving; they stop using it at once.
  void Leave();

  // What is known now; never null.
  decisions::fleet_view_ptr View() const;

  // The address listened on, with the port that was given for port 0. Good once
  // Start() has succeeded.
  base::address RpcAddress() const;

  // How many different nodes have answered this one since its start, up to
  // kMostPeersHeard. A fresh node that has heard several knows the greatest
  // version that any of them held.
  int PeersHeard() const;

  // The greatest configuration version that each node has told this one, by
  // node id. Whole for this data centre only at a holder of kStatusJob.
  std::map<std::string, std::uint64_t> HeardVersions() const;

  // True when this node is among the first `count` of its data centre's living
  // nodes for the job (decisions/rendezvous.h).
  bool HasJob(const std::string& job, std::size_t count) const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace fireflyspar::nodes

#endif  // FIREFLYSPAR_NODES_MESH_H_
