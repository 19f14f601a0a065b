// This node's tasks at the platform: relaying the configuration and the moves
// into the mesh, keeping the data centre's roster and status up to date (both
// only while this node holds the job), and writing the findings of evaluators.
// Each task has its own client, so that stopping one does not wait for another;
// all share one call budget.
#ifndef FIREFLYSPAR_APP_PLATFORM_JOBS_H_
#define FIREFLYSPAR_APP_PLATFORM_JOBS_H_

#include <functional>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/hooks.h"
#include "base/metrics.h"
#include "nodes/mesh.h"
#include "platform/call_rate_limiter.h"
#include "platform/http_object_api.h"
#include "platform/object_reconciler.h"
#include "platform/outcome_writer.h"
#include "platform/relay.h"
#include "platform/status_report.h"

namespace fireflyspar::app {

struct platform_jobs_options {
  std::string data_centre;
  base::address platform_address;
  base::clock_hook clock;
  base::random_hook random;
  base::metrics* metrics = nullptr;
  nodes::mesh* mesh = nullptr;

  // Returns whether this node may call the platform now. Tests use it to inject
  // faults. If empty, calls are always allowed.
  std::function<bool()> may_connect;
};

class platform_jobs {
 public:
  explicit platform_jobs(platform_jobs_options options);

  void Start();
  void Stop();

  // Offers the platform's current configuration and moves to the mesh, and adds
  // the addresses in the rosters to the mesh's seeds. Called when a node
  // starts. Fails if the platform cannot be reached within `limit`.
  base::status FetchIntoMesh(std::chrono::milliseconds limit);

  // Writes this node's verdict that the move is rolled back, so that it becomes
  // final at the platform.
  void WriteRolledBack(const decisions::move& move);

  // Writes that this data centre's evaluators found the move's new version
  // good.
  void WriteReady(const std::string& move_id);

 private:
  // Returns a new client that shares the call budget and the injected faults.
  platform::object_api MakeApi();
  bool HasJob(const std::string& job) const;
  platform::relay_options RelayOptions();
  platform::object_reconciler_options ReconcilerOptions();
  platform::outcome_writer_options WriterOptions();
  std::vector<base::address> LivingAddresses() const;
  std::vector<platform::node_version> LivingVersions() const;
  // Returns the data centres that must be ready before a move is done: those
  // that the preset lists, so that a move also waits for one that is
  // partitioned off, or those of the known members if it lists none.
  std::vector<std::string> RequiredDataCentres() const;

  platform_jobs_options options_;
  platform::call_rate_limiter budget_;
  platform::relay relay_;
  platform::object_reconciler reconciler_;
  platform::outcome_writer writer_;
};

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_PLATFORM_JOBS_H_
