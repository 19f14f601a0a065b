// The event loop of the mesh's thread. It calls the side-effect-free classes of
// decisions/ (membership, dissemination, configuration_store) on timers and on
// messages, and sends the messages that they return. Everything here runs on
// that one thread; the other threads read an immutable view that it publishes.
#ifndef FIREFLYSPAR_NODES_MESH_LOOP_H_
#define FIREFLYSPAR_NODES_MESH_LOOP_H_

#include <kj/async-io.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/result.h"
#include "decisions/configuration_store.h"
#include "decisions/dissemination.h"
#include "decisions/fleet_view.h"
#include "decisions/membership.h"
#include "nodes/mesh.h"
#include "nodes/peer_client.h"
#include "nodes/peer_server.h"
#include "nodes/traffic_counters.h"

namespace fireflyspar::nodes {

// Callbacks through which the loop publishes its state to the other threads.
struct mesh_outputs {
  std::function<void(decisions::fleet_view_ptr)> publish;
  std::function<void(int)> set_responded_peers;
  // Records the configuration version that a node reported as its own.
  std::function<void(const std::string& node_id, std::uint64_t version)>
      on_version_reported;
};

class mesh_loop final : private kj::TaskSet::ErrorHandler {
 public:
  // `bound` is the listener's address, which is sent to the other nodes.
  mesh_loop(const mesh_options& options, base::metrics& metrics,
            mesh_outputs outputs, kj::AsyncIoContext& io,
            const base::address& bound);

  void Serve(kj::Own<kj::ConnectionReceiver> listener);

  void Offer(config::snapshot_ptr configuration);
  void Offer(const decisions::move& move);
  void Forget(const std::string& move_id);
  void SetServer(const decisions::server_record& server);
  void SendEvidence(const decisions::evidence_report& report);
  void AddSeeds(const std::vector<base::address>& seeds);
  void Leave();

 private:
  using gossip = decisions::gossip;

  // Periodic work.
  kj::Promise<void> TickLoop();
  void Tick();
  void Join(base::instant now);
  void CompareAcrossDataCentres(base::instant now);
  void RecordCpuTime();

  // Sends pending probes and schedules a push and a publication where needed.
  // Called after every event that may have changed the state.
  void ProcessPendingWork();
  void SendProbes();
  void SchedulePush();
  void Push();
  void SchedulePublish();
  void Publish();

  // Messages to and from other nodes. `steps_left` is the number of follow-up
  // messages that may still be sent in the comparison.
  gossip OnExchange(const gossip& message);
  void StartExchange(const base::address& peer);
  void SendGossip(const base::address& peer, const gossip& message,
                  int steps_left);
  void OnGossipAnswer(const base::address& peer, const gossip& answer,
                      int steps_left);
  void OnProbeResult(const decisions::probe& target,
                     const std::optional<gossip>& answer);
  void ProbeIndirectly(const decisions::indirect_probe& request);
  kj::Promise<bool> ProbeOnBehalf(const base::address& target);
  void NoteAdvertisedVersion(const gossip& message);
  void ReportVersion(base::instant now);
  void SendEvidenceTo(const std::string& data_centre,
                      const decisions::evidence_report& report);

  // Fetching configurations from peers and adopting them.
  void Pull();
  void RetryPull();
  void OnFetched(const base::address& peer, std::optional<fetch_answer> answer);
  void OnConfiguration(const base::address& peer,
                       const decisions::configuration_message& message);
  void OnConfigurationAdopted();
  fetch_answer OnFetch(const std::string& have_hash);

  base::instant Now() const { return options_.clock(); }
  kj::Duration RandomDelay(int failures, base::duration first,
                           base::duration max_delay);
  void After(kj::Duration delay, std::function<void()> action);
  void taskFailed(kj::Exception&& failure) override;

  const mesh_options& options_;
  base::metrics& metrics_;
  mesh_outputs outputs_;
  kj::Timer& timer_;
  traffic_counters counters_;
  decisions::membership members_;
  decisions::configuration_store configuration_;
  decisions::dissemination dissemination_;
  decisions::full_sync_limiter full_text_limiter_;

  std::set<base::address> seeds_;
  std::set<std::string> responded_peers_;
  base::instant next_join_;
  base::instant next_cross_data_centre_compare_;
  base::instant next_version_report_;
  int joins_failed_ = 0;
  base::instant last_push_;
  base::instant last_publish_;
  bool push_scheduled_ = false;
  bool publish_scheduled_ = false;

  // Peers that advertised a configuration version greater than the current one,
  // with that version.
  std::map<base::address, std::uint64_t> configuration_sources_;
  bool pulling_ = false;
  bool request_full_text_ = false;
  int pulls_failed_ = 0;

  peer_client client_;
  peer_server server_;
  kj::TaskSet tasks_;
};

}  // namespace fireflyspar::nodes

#endif  // FIREFLYSPAR_NODES_MESH_LOOP_H_
