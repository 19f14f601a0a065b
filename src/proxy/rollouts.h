// Tracks the rollouts of all services as this proxy sees them. Chooses the
// version for each request, feeds the counts that gates report to the rollouts'
// evaluation, and has the states of rollouts written to the store.
#ifndef FIREFLYSPAR_PROXY_ROLLOUTS_H_
#define FIREFLYSPAR_PROXY_ROLLOUTS_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/event_log.h"
#include "decisions/server_directory.h"
#include "decisions/version_rollout.h"
#include "proxy/gate_messages.h"

namespace fireflyspar::proxy {

struct rollouts_options {
  base::random_hook random;
  base::event_log* log = nullptr;
  const decisions::server_directory* directory = nullptr;
  // Called to write an order's state to the store, provided that the store
  // holds no state of the order yet or still says that it is running. It may be
  // called again for the same state.
  std::function<void(const decisions::rollout_order&)> write_state;
  // While the store's orders have not been read, any version may be the target
  // of one. No version is chosen for this long then, from the first request on.
  base::duration wait_for_orders{};
};

class rollouts {
 public:
  explicit rollouts(rollouts_options options) : options_(std::move(options)) {}

  // Applies an order read from the store. `has_state`: the store holds a state
  // of the order. `age`: time since the operator gave the order, as far as
  // known.
  void OnRolloutOrder(const decisions::rollout_order& order, bool has_state,
                      base::duration age);

  // Must be called when the store's orders have been read, even if there are
  // none.
  void OnOrdersRead() { are_orders_read_ = true; }

  // Returns whether no version is chosen yet, except for services whose order
  // is known.
  bool IsWaitingForOrders();

  // Chooses the version for one request; empty if the service has no server, or
  // while its order is waited for.
  std::string ChooseVersion(const std::string& service);

  // Returns the version to fall back to if no server of `version` can take the
  // request; empty if there is no other version.
  std::string FallbackVersion(const std::string& service,
                              const std::string& version) const;

  // Returns whether the version is the target of a rollout that has not
  // succeeded: one that is running or was rolled back.
  bool IsUnproven(const std::string& service, const std::string& version) const;

  // Records the status that a gate sent with a response.
  void OnStatus(const std::string& service, const std::string& route,
                const gate_status& status);

  // Has completed rollouts written to the store as succeeded. Must be called a
  // few times a second.
  void Tick();

 private:
  void OnStateChange(const decisions::version_rollout& rollout,
                     std::string_view event);

  // Returns the version that gets all requests that no rollout takes; empty if
  // no server runs one. It follows from the servers and the order as they are
  // known now, whatever was known before.
  std::string_view StableVersion(const std::string& service) const;

  // Has a change of the stable version logged.
  void NoteStableVersion(const std::string& service, std::string_view version);

  rollouts_options options_;
  // Both by service.
  std::map<std::string, decisions::version_rollout, std::less<>> rollouts_;
  std::map<std::string, std::string, std::less<>> logged_stable_versions_;
  bool are_orders_read_ = false;
  std::optional<base::steady_instant> waits_since_;
  bool has_logged_wait_ = false;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_ROLLOUTS_H_
