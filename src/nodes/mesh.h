// A node's connection to the other nodes. It keeps track of the fleet's
// members, distributes the configuration and the moves with their verdicts, and
// sends evidence to the evaluators of moves. It runs a Cap'n Proto event loop
// on a thread of its own; every method may be called from any thread and
// returns without waiting for other nodes.
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

// Returns the name of the job (see mesh::HasJob) of evaluating a move. The
// first kEvaluatorsPerMove nodes of each data centre hold it.
std::string EvaluatorJob(const std::string& move_id);
inline constexpr std::size_t kEvaluatorsPerMove = 2;

// The job of writing the data centre's status. Each node reports the
// configuration version that it has to the holders, see mesh::ReportedVersions.
inline constexpr std::string_view kStatusJob = "status";
inline constexpr std::size_t kStatusHolders = 2;

// Greatest value of mesh::RespondedPeers(); bounds the set of node ids behind
// it.
inline constexpr int kMaxRespondedPeers = 64;

struct mesh_options {
  std::string node_id;
  std::string data_centre;
  std::string region;
  base::address rpc_address;   // Address to listen on.
  base::address gate_address;  // The gate's address, sent to other nodes.
  std::vector<base::address>
      seeds;  // Other nodes' RPC addresses; may be outdated.
  base::clock_hook clock;
  base::random_hook random;
  base::metrics* metrics = nullptr;

  // Largest number of nodes at which evidence is sent to the evaluators of
  // every data centre: a small fleet has few calls, and each evaluator needs
  // the evidence of all of them. In a larger fleet each data centre has enough
  // calls to evaluate a move by its own, and evaluators that pooled them would
  // receive thousands of reports a second.
  std::size_t max_pooled_evidence_nodes = 128;

  // Returns whether this node may exchange messages with the peer now. Tests
  // use it to partition data centres. If empty, every peer is allowed.
  std::function<bool(const base::address& peer)> may_connect;

  // Called on the mesh's thread with the new view after each change of View().
  std::function<void(decisions::fleet_view_ptr)> on_change;

  // Called on the mesh's thread with each evidence report that this node
  // receives as an evaluator.
  std::function<void(const decisions::evidence_report&)> on_evidence;
};

class mesh {
 public:
  explicit mesh(mesh_options options);
  ~mesh();
  mesh(const mesh&) = delete;
  mesh& operator=(const mesh&) = delete;

  // Starts the thread and waits until it listens on the RPC address.
  base::status Start();

  // Adopts the configuration if its version is greater than the current one,
  // and distributes it to the other nodes.
  void Offer(config::snapshot_ptr configuration);

  // Merges the move into this node's state of it, and distributes the result if
  // it changed.
  void Offer(const decisions::move& move);

  // Deletes a move that ended long ago and was removed from the platform, and
  // distributes a tombstone for it.
  void Forget(const std::string& move_id);

  // Replaces the record of the backend server on this node's instance and
  // distributes it.
  void SetServer(const decisions::server_record& server);

  // Sends the report to the evaluators of its move, which are chosen by
  // rendezvous hash: those of this data centre, and in a small fleet (see
  // max_pooled_evidence_nodes) those of every other data centre as well.
  void SendEvidence(const decisions::evidence_report& report);

  // Adds RPC addresses of peers to join by, such as those in the platform's
  // rosters.
  void AddSeeds(const std::vector<base::address>& seeds);

  // Notifies the other nodes that this one is leaving. They stop using it as
  // soon as they receive the notification.
  void Leave();

  // Returns the current view of the fleet; never null.
  decisions::fleet_view_ptr View() const;

  // Returns the address that the mesh listens on; if the options gave port 0,
  // with the port that the system chose. Valid after Start() has succeeded.
  base::address RpcAddress() const;

  // Returns the number of different nodes that have answered this one since its
  // start, at most kMaxRespondedPeers. A newly started node to which several
  // nodes have answered knows the greatest configuration version among them.
  int RespondedPeers() const;

  // Returns the configuration version that each node last reported to this one,
  // by node id. Only a holder of kStatusJob has the versions of all nodes of
  // its data centre.
  std::map<std::string, std::uint64_t> ReportedVersions() const;

  // Returns true when this node is among the first `count` living nodes of its
  // data centre in the rendezvous order for the job (decisions/rendezvous.h).
  bool HasJob(const std::string& job, std::size_t count) const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace fireflyspar::nodes

#endif  // FIREFLYSPAR_NODES_MESH_H_
