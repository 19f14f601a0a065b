#include "platform/reachability.h"

#include <utility>

#include "base/log.h"

namespace fireflyspar::platform {

reachability::reachability(std::string job, base::metrics& metrics,
                           backoff_options retry, base::random_hook random)
    : job_(std::move(job)),
      failures_(metrics.Counter("fireflyspar_platform_failures_total",
                                "job=\"" + job_ + "\"")),
      retry_(retry, std::move(random)) {}

base::duration reachability::OnFailure(const base::failure& failure) {
  ++failures_;
  if (std::exchange(reachable_, false)) {
    base::LogWarning("platform_failed", {{"job", job_},
                                         {"error", failure.code.message()},
                                         {"detail", failure.detail}});
  }
  return retry_.Next();
}

void reachability::OnSuccess() {
  retry_.Reset();
  if (!std::exchange(reachable_, true)) {
    base::LogInfo("platform_recovered", {{"job", job_}});
  }
}

void LogMalformedObject(const std::string& key, const base::failure& failure) {
  base::LogWarning("platform_object_refused",
                   {{"object", key},
                    {"error", failure.code.message()},
                    {"detail", failure.detail}});
}

}  // namespace fireflyspar::platform
