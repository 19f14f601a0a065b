// What this node does at the platform, each part only while the job is its own:
// relaying the configuration and the moves into the mesh, keeping its data
// centre's roster and status, and writing what judges find. Each part has a
// client of its own, so that stopping one does not wait for another; all share
// one budget of calls.
#ifndef FIREFLYSPAR_APP_PLATFORM_JOBS_H_
#define FIREFLYSPAR_APP_PLATFORM_JOBS_H_

#include <functional>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/hooks.h"
#include "base/metrics.h"
#include "nodes/mesh.h"
#include "platform/call_budget.h"
#include "platform/http_object_api.h"
#include "platform/object_keeper.h"
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

  // Whether this node may now talk to the platform; the fault switch of tests.
  std::function<bool()> may_connect;
};

class platform_jobs {
 public:
  explicit platform_jobs(platform_jobs_options options);

  void Start();
  void Stop();

  // Offers to the mesh what the platform holds now, and adds the rosters'
  // addresses to its seeds. For a node that starts; fails when the platform
  // cannot be reached within `limit`.
  base::status FetchInto(std::chrono::milliseconds limit);

  // A verdict of this node, to become final at the platform.
  void WriteTakenBack(const decisions::move& move);

  // This data centre's word that the move is good.
  void WriteReady(const std::string& move_id);

 private:
  platform::object_api MakeApi();
  bool HasJob(const std::string& job) const;
  platform::relay_options RelayOptions();
  platform::object_keeper_options KeeperOptions();
  platform::outcome_writer_options WriterOptions();
  std::vector<base::address> LivingAddresses() const;
  std::vector<platform::node_version> LivingVersions() const;
  std::vector<std::string> NeededDataCentres() const;

  platform_jobs_options options_;
  platform::call_budget budget_;
  platform::relay relay_;
  platform::object_keeper keeper_;
  platform::outcome_writer writer_;
};

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_PLATFORM_JOBS_H_
