// The roll-outs of all services as this proxy sees them: which version a
// request may go to, what the evidence says, and which outcomes are to be
// written to the store.
#ifndef FIREFLYSPAR_PROXY_ROLLOUTS_H_
#define FIREFLYSPAR_PROXY_ROLLOUTS_H_

#include <functional>
#include <map>
#include <string>

#include "base/event_log.h"
#include "decisions/server_directory.h"
#include "decisions/version_trial.h"
#include "proxy/gate_messages.h"

namespace fireflyspar::proxy {

struct rollouts_options {
  base::random_hook random;
  base::event_log* log = nullptr;
  const decisions::server_directory* directory = nullptr;
  // Asks for an order's state to be written to the store, where it still says
  // that the order is running or nothing at all.
  std::function<void(const decisions::trial_order&)> write_state;
};

class rollouts {
 public:
  explicit rollouts(rollouts_options options) : options_(std::move(options)) {}

  // An order as the store has it, `age` after it was given as far as known.
  void OnOrder(const decisions::trial_order& order, bool has_state,
               base::duration age);

  // Chooses the version for one request; empty when the service has no server.
  std::string ChooseVersion(const std::string& service);

  // The same when no server of the chosen version can take the request.
  std::string OtherVersion(const std::string& service,
                           const std::string& version) const;

  // The version that is not on trial.
  bool IsOnTrial(const std::string& service, const std::string& version) const;

  // What a gate told with an answer.
  void OnStatus(const std::string& service, const std::string& route,
                const gate_status& status);

  // Called a few times a second.
  void Tick();

 private:
  void Report(const decisions::version_trial& trial, std::string_view event);

  // The version that gets all requests when no roll-out runs.
  std::string StableVersion(const std::string& service) const;

  rollouts_options options_;
  std::map<std::string, decisions::version_trial, std::less<>> trials_;
  std::map<std::string, std::string, std::less<>> stable_;  // By service.
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_ROLLOUTS_H_
