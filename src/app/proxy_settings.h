// The settings of one proxy process.
#ifndef FIREFLYSPAR_APP_PROXY_SETTINGS_H_
#define FIREFLYSPAR_APP_PROXY_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "base/address.h"
#include "decisions/quota_granter.h"
#include "decisions/shared_retry_budget.h"

namespace fireflyspar::app {

struct proxy_settings {
  std::string instance;  // Name of this process's instance.
  std::string data_centre;
  std::string service;      // Service of the backend server on this instance.
  base::address callers;    // Listens here for callers' requests.
  base::address readiness;  // Listens here for the platform's readiness checks.
  base::address reports;    // Listens here for the backend server's reports.
  base::address gate;       // Listens here for other proxies' offers.
  base::address metrics;    // Listens here for metrics scrapes.
  base::address server;     // The backend server's address.
  base::address store;      // The store's address.
  // Time from SIGTERM until the platform sends SIGKILL.
  std::chrono::milliseconds shutdown_limit{6000};
  // Maximum time from the store's acknowledgement of a configuration until it
  // is in force.
  std::chrono::milliseconds configuration_limit{2000};
  // Whether the whole system starts for the first time.
  bool is_first_start = false;
  decisions::quota_granter_options quotas;
  // Whether operators evacuate data centres, and whether the rate of requests
  // to cold servers is limited.
  bool has_evacuations = false;
  bool has_cold_limits = false;
  decisions::shared_retry_budget_options repeats;
  // Of this instance: the rate of its link and the memory of this process.
  double link_bytes_per_second = 125e6;
  std::uint64_t memory_bytes = 256'000'000;

  bool operator==(const proxy_settings&) const = default;
};

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_PROXY_SETTINGS_H_
