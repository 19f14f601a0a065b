// Tracks whether the platform calls of one background job succeed. Logs when
// that changes, counts every failure and computes the delay before the next
// try.
#ifndef FIREFLYSPAR_PLATFORM_REACHABILITY_H_
#define FIREFLYSPAR_PLATFORM_REACHABILITY_H_

#include <string>

#include "base/hooks.h"
#include "base/metrics.h"
#include "base/result.h"
#include "platform/backoff.h"

namespace fireflyspar::platform {

class reachability {
 public:
  // `job` names the counter fireflyspar_platform_failures_total{job="..."}.
  reachability(std::string job, base::metrics& metrics, backoff_options retry,
               base::random_hook random);

  // Records a failure and returns the delay before the next try.
  base::duration OnFailure(const base::failure& failure);

  void OnSuccess();

 private:
  std::string job_;
  base::counter& failures_;
  backoff retry_;
  bool reachable_ = true;
};

// Logs a warning that a stored object is missing or cannot be used.
void LogMalformedObject(const std::string& key, const base::failure& failure);

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_PLATFORM_REACHABILITY_H_
