// Measures the backend server behind a gate by the outcomes of its requests:
// how its latency compares with the typical one, how often it fails, and the
// counts of each route, by which rollouts are evaluated.
#ifndef FIREFLYSPAR_PROXY_SERVER_MEASUREMENTS_H_
#define FIREFLYSPAR_PROXY_SERVER_MEASUREMENTS_H_

#include <map>
#include <string>

#include "base/hooks.h"
#include "decisions/version_rollout.h"
#include "proxy/gate_messages.h"

namespace fireflyspar::proxy {

class server_measurements {
 public:
  // Starts anew for a server that has just started, which is slow for
  // `cold_left`.
  void Restart(base::duration cold_left);

  // Sets the end of the time in which the server is slow after its start.
  void SetColdUntil(base::steady_instant until) { cold_until_ = until; }

  // Records the outcome of a request that took `took` at the server.
  void Record(const call_offer& offer, const gate_outcome& outcome,
              base::duration took, base::steady_instant now);

  // Returns the time at the server now, relative to the typical time.
  double LatencyRatio(base::steady_instant now) const;

  // Returns how far that time mostly is from the mean, relative to the typical
  // time.
  double LatencyDeviation() const { return latency_deviation_; }

  // Returns the failed share of the latest outcomes, 0 to 1.
  double FailureRate(base::steady_instant now) const;

  decisions::run_counts CountsOf(const std::string& route) const;

 private:
  bool IsCold(base::steady_instant now) const { return now < cold_until_; }

  base::steady_instant cold_until_;
  double latency_ratio_ = 1;
  double latency_deviation_ = 0;
  double failure_rate_ = 0;
  base::steady_instant failure_rate_updated_at_;
  std::map<std::string, decisions::run_counts, std::less<>>
      counts_;  // By route.
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_SERVER_MEASUREMENTS_H_
