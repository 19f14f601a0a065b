// What one proxy is told by its settings.
#ifndef FIREFLYSPAR_APP_PROXY_SETTINGS_H_
#define FIREFLYSPAR_APP_PROXY_SETTINGS_H_

#include <chrono>
#include <string>

#include "base/address.h"
#include "decisions/repeat_budget.h"

namespace fireflyspar::app {

struct proxy_settings {
  std::string instance;  // This process's name.
  std::string data_centre;
  std::string service;      // Of the backend server beside it.
  base::address callers;    // Where callers' requests come in.
  base::address readiness;  // Where the platform asks whether it is ready.
  base::address reports;    // Where the backend server reports itself.
  base::address gate;       // For the other proxies.
  base::address metrics;
  base::address server;  // The backend server.
  base::address store;
  std::chrono::milliseconds shutdown_limit{6000};  // From SIGTERM to SIGKILL.
  // From the store's acknowledgement of a configuration until it is in force.
  std::chrono::milliseconds configuration_limit{2000};
  decisions::repeat_budget_options repeats;

  bool operator==(const proxy_settings&) const = default;
};

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_PROXY_SETTINGS_H_
