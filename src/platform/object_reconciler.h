// Keeps small objects at the platform up to date: the rosters through which
// nodes join and the status that operators read. A few nodes at a time are
// assigned to this. Each of them compares the object's stored value with the
// desired value and writes it only if they differ, at a bounded rate. If two
// nodes write at once, the one whose write conflicts reads the other's value
// and usually has nothing left to write.
#ifndef FIREFLYSPAR_PLATFORM_OBJECT_RECONCILER_H_
#define FIREFLYSPAR_PLATFORM_OBJECT_RECONCILER_H_

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

struct reconciled_object {
  std::string key;

  // Returns whether this node is assigned to write the object now.
  std::function<bool()> is_assigned;

  // Returns the object's desired value, given its current one (empty: the
  // object does not exist), or nothing if no write is needed.
  std::function<std::optional<std::string>(const std::string& current)> next;

  // Least time between two writes by this node.
  std::chrono::milliseconds min_write_interval{1000};
};

struct object_reconciler_options {
  object_api api;  // Not shared: Stop interrupts it permanently.
  base::clock_hook clock;
  base::random_hook random;
  base::metrics* metrics = nullptr;
  std::vector<reconciled_object> objects;
  std::chrono::milliseconds check_every{500};
  backoff_options retry{.most = std::chrono::milliseconds{10'000}};
};

class object_reconciler {
 public:
  explicit object_reconciler(object_reconciler_options options);
  ~object_reconciler();
  object_reconciler(const object_reconciler&) = delete;
  object_reconciler& operator=(const object_reconciler&) = delete;

  void Start();
  void Stop();

  // Checks every object once, as the thread does in each iteration, and returns
  // the delay before the next check. Must not be called after Start.
  base::duration ReconcileAll();

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_PLATFORM_OBJECT_RECONCILER_H_
