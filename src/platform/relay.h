// A relay reads the configuration in force and the moves from the platform and
// passes them to the mesh. Two or three nodes of each data centre are relays at
// a time. All other nodes make no platform calls for this and receive the data
// from their peers by gossip.
//
// A relay keeps one watch waiting on all objects whose changes nodes wait for
// (kWatchedPrefix). Two watches, on `in_force` and on the moves, would count as
// two calls each time; one watch on the whole platform would end with every
// audit, status and roster write. With two relays in each of 4 data centres,
// waiting 30 s at a time, the idle cost is 8 / 30 s, or 0.27 calls a second for
// the whole fleet.
//
// A watch's results may be stale, reordered or repeated. The relay passes on
// only configuration versions and object versions that are greater than those
// it has already passed on. A result that is recognisably stale makes it read
// everything again, at once and then after intervals that double up to a
// minute; the reads once a minute add 8 / 60 s, or 0.13 calls a second.
#ifndef FIREFLYSPAR_PLATFORM_RELAY_H_
#define FIREFLYSPAR_PLATFORM_RELAY_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/hooks.h"
#include "base/metrics.h"
#include "base/result.h"
#include "config/snapshot.h"
#include "decisions/move.h"
#include "platform/backoff.h"
#include "platform/object_api.h"

namespace fireflyspar::platform {

struct relay_options {
  object_api api;  // Not shared: Stop interrupts it permanently.
  base::random_hook random;
  base::metrics* metrics = nullptr;

  // Returns whether this node is a relay now.
  std::function<bool()> is_assigned;

  // These three are called on the relay's thread.
  std::function<void(config::snapshot_ptr)> offer_configuration;
  std::function<void(const decisions::move&)> offer_move;
  std::function<void(const std::string& move_id)> remove_move;

  // How often a node that is not a relay checks whether it has become one.
  std::chrono::milliseconds job_check{500};
  std::chrono::milliseconds watch_wait{30'000};
  std::chrono::milliseconds resync_every{60'000};
  backoff_options retry;
};

class relay {
 public:
  explicit relay(relay_options options);
  ~relay();
  relay(const relay&) = delete;
  relay& operator=(const relay&) = delete;

  void Start();

  // Ends a waiting watch at once and joins the thread.
  void Stop();

 private:
  class state;
  std::unique_ptr<state> state_;
};

// The platform's state at one moment.
struct platform_state {
  config::snapshot_ptr configuration;  // Null when none was ever in force.
  std::vector<decisions::move> moves;
};

struct fetch_options {
  object_api api;
  base::random_hook random;
  std::chrono::milliseconds limit{3000};  // No try starts later.
  backoff_options retry;
};

// Reads the configuration in force and the moves once, for a starting node, and
// retries failures until the time limit. A try makes one list and one get call.
// If 2,000 nodes start at once they need 4,000 reads; the platform allows 2,000
// a second, and the jittered retries spread the rest over a few seconds.
base::result<platform_state> FetchPlatformState(const fetch_options& options);

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_PLATFORM_RELAY_H_
