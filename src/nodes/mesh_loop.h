// The mesh's own thread: drives the pure decisions (membership, dissemination,
// configuration) with the event loop's timers and sends what they ask for.
// Everything here runs on that one thread; what others read is published as one
// immutable view.
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
#include "nodes/traffic.h"

namespace fireflyspar::nodes {

// How the loop tells the other threads what it knows.
struct mesh_outputs {
  std::function<void(decisions::fleet_view_ptr)> publish;
  std::function<void(int)> set_peers_heard;
  // A node told the configuration version that it holds.
  std::function<void(const std::string& node_id, std::uint64_t version)>
      note_version;
};

class mesh_loop final : private kj::TaskSet::ErrorHandler {
 public:
  // `bound`: the listener's address, told to the others.
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

  // Timers.
  kj::Promise<void> TickLoop();
  void Tick();
  void Join(base::instant now);
  void CompareAcross(base::instant now);
  void CountLoad();

  // After anything that may have changed what is held.
  void AfterEvent();
  void SendProbes();
  void SchedulePush();
  void Push();
  void SchedulePublish();
  void Publish();

  // Conversations.
  gossip OnExchange(const gossip& message);
  void StartExchange(const base::address& peer);
  void Send(const base::address& peer, const gossip& message, int steps_left);
  void OnAnswer(const base::address& peer, const gossip& answer,
                int steps_left);
  void OnProbed(const decisions::probe& target,
                const std::optional<gossip>& answer);
  void ProbeThroughOthers(const decisions::indirect_probe& request);
  kj::Promise<bool> ProbeFor(const base::address& target);
  void Heard(const gossip& message);
  void TellVersion(base::instant now);
  void SendEvidenceTo(const std::string& data_centre,
                      const decisions::evidence_report& report);

  // Configurations.
  void Pull();
  void RetryPull();
  void OnFetched(const base::address& peer, std::optional<fetch_answer> answer);
  void OnConfiguration(const base::address& peer,
                       const decisions::configuration_message& message);
  void OnTaken();
  fetch_answer OnFetch(const std::string& have_hash);

  base::instant Now() const { return options_.clock(); }
  kj::Duration Jitter(int failures, base::duration first, base::duration most);
  void After(kj::Duration delay, std::function<void()> action);
  void taskFailed(kj::Exception&& failure) override;

  const mesh_options& options_;
  base::metrics& metrics_;
  mesh_outputs outputs_;
  kj::Timer& timer_;
  traffic traffic_;
  decisions::membership members_;
  decisions::configuration_store configuration_;
  decisions::dissemination dissemination_;
  decisions::sync_gate whole_texts_;

  std::set<base::address> seeds_;
  std::set<std::string> peers_heard_;
  base::instant next_join_;
  base::instant next_compare_across_;
  base::instant next_tell_version_;
  int joins_failed_ = 0;
  base::instant last_push_;
  base::instant last_publish_;
  bool push_scheduled_ = false;
  bool publish_scheduled_ = false;

  // Peers that told of a greater version than the one held.
  std::map<base::address, std::uint64_t> tellers_;
  bool pulling_ = false;
  bool ask_for_whole_ = false;
  int pulls_failed_ = 0;

  peer_client client_;
  peer_server server_;
  kj::TaskSet tasks_;
};

}  // namespace fireflyspar::nodes

#endif  // FIREFLYSPAR_NODES_MESH_LOOP_H_
