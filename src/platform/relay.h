// A relay brings what the platform holds into the mesh: the configuration in
// force and the moves. Two or three nodes of each data centre are relays at a
// time; every other node makes no platform calls for this and hears all of it
// from its peers.
//
// A relay holds one waiting watch over everything that nodes wait for
// (kWatchedPrefix). Two watches, on `in_force` and on the moves, would count
// as two calls each time; one on the whole platform would be woken by audit,
// status and roster writes. With two relays in each of
// 4 data centres, waiting 30 s at a time, the idle cost is 8 / 30 s, or 0.27
// calls a second for the whole fleet.
//
// A watch's answers are hints: they may be stale, crossed or doubled. The relay
// offers only greater configuration versions and object versions than it has
// already offered. An answer that shows itself to be old makes it ask for
// everything again, at once and then after gaps that double up to a minute;
// those once a minute add 8 / 60 s, or 0.13 calls a second.
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
  object_api api;  // The relay's own: Stop interrupts it for good.
  base::random_hook random;
  base::metrics* metrics = nullptr;

  // Whether this node is a relay now.
  std::function<bool()> has_job;

  // All are called on the relay's thread.
  std::function<void(config::snapshot_ptr)> offer_configuration;
  std::function<void(const decisions::move&)> offer_move;
  std::function<void(const std::string& move_id)> forget_move;

  std::chrono::milliseconds job_check{500};  // While this is no relay.
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

// What the platform held at one moment.
struct platform_view {
  config::snapshot_ptr configuration;  // Null when none was ever in force.
  std::vector<decisions::move> moves;
};

struct fetch_options {
  object_api api;
  base::random_hook random;
  std::chrono::milliseconds limit{3000};  // No try begins later than this.
  backoff_options retry;
};

// Reads the greatest version and the moves, once, for a node that starts. One
// list and one get; a herd of 2,000 starting nodes needs 4,000 reads, which
// the platform's 2,000 a second and the jittered retries spread over seconds.
base::result<platform_view> FetchNow(const fetch_options& options);

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_PLATFORM_RELAY_H_
