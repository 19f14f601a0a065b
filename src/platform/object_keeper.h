// Keeps small objects at the platform up to date from a few nodes at once: the
// rosters to join by and the status that operators read. Each node that has the
// job compares what the object holds with what it should hold and writes only a
// difference, at a bounded rate. When two nodes write at once, the loser reads
// the winner's and mostly finds nothing left to do.
#ifndef FIREFLYSPAR_PLATFORM_OBJECT_KEEPER_H_
#define FIREFLYSPAR_PLATFORM_OBJECT_KEEPER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/hooks.h"
#include "base/metrics.h"
#include "platform/backoff.h"
#include "platform/object_api.h"

namespace fireflyspar::platform {

struct kept_object {
  std::string key;

  // Whether this node writes the object now.
  std::function<bool()> has_job;

  // What the object should hold, given its value now (empty: it does not
  // exist); nothing when that is well.
  std::function<std::optional<std::string>(const std::string& current)> next;

  // Between two writes of this node.
  std::chrono::milliseconds least_gap{1000};
};

struct object_keeper_options {
  object_api api;  // The keeper's own: Stop interrupts it for good.
  base::clock_hook clock;
  base::random_hook random;
  base::metrics* metrics = nullptr;
  std::vector<kept_object> objects;
  std::chrono::milliseconds check_every{500};
  backoff_options retry{.most = std::chrono::milliseconds{10'000}};
};

class object_keeper {
 public:
  explicit object_keeper(object_keeper_options options);
  ~object_keeper();
  object_keeper(const object_keeper&) = delete;
  object_keeper& operator=(const object_keeper&) = delete;

  void Start();
  void Stop();

  // Checks every object once; what the thread does each time. Gives the wait
  // before the next check. Not to be called after Start.
  base::duration CheckAll();

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_PLATFORM_OBJECT_KEEPER_H_
