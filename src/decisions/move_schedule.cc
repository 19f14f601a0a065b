#include "decisions/move_schedule.h"

#include <algorithm>
#include <chrono>

namespace fireflyspar::decisions {
namespace {

using std::chrono::seconds;

// Returns the time between the end of the bake and the deadline. It covers the
// delay of reports, the readiness messages of the data centres, the write at
// the platform and clocks that differ by a few hundred milliseconds.
base::duration MarginOf(const move& value) {
  constexpr int kMarginDivisor = 20;
  const base::duration total = value.complete_by - value.start;
  return std::clamp<base::duration>(total / kMarginDivisor, seconds(2),
                                    seconds(30));
}

// Returns the share that a new version may have without any evidence.
double UnprovenShare(const config::move_policy& policy) {
  return std::clamp(policy.max_unproven_percent / 100.0, 0.0, kFullShare);
}

// Returns the share on the ramp, which is linear from the unproven share at
// the start to the full share at FullShareAt.
double ScheduledShare(const move& value, const config::move_policy& policy,
                      base::instant now) {
  const base::instant full_at = FullShareAt(value, policy);
  if (now >= full_at) return kFullShare;
  const std::chrono::duration<double> ramp = full_at - value.start;
  const std::chrono::duration<double> elapsed = now - value.start;
  const double unproven = UnprovenShare(policy);
  return unproven + (kFullShare - unproven) * (elapsed / ramp);
}

}  // namespace

base::instant FullShareAt(const move& value,
                          const config::move_policy& policy) {
  return std::max(value.start,
                  value.complete_by - policy.bake - MarginOf(value));
}

bool FitsInTime(const move& value, const config::move_policy& policy) {
  return FullShareAt(value, policy) > value.start;
}

double AllowedShare(const move& value, const config::move_policy& policy,
                    base::instant now) {
  return AllowedShare(value, policy,
                      {.proven_percent = value.proven_percent,
                       .share_capped_until = value.share_capped_until},
                      now);
}

double AllowedShare(const move& value, const config::move_policy& policy,
                    const share_limits& limits, base::instant now) {
  if (now < value.start) return 0;
  const double cap = now < limits.share_capped_until ? kSuspicionShareCap : 1;
  const double unproven = UnprovenShare(policy);
  return std::min({ScheduledShare(value, policy, now), cap,
                   std::max(unproven, limits.proven_percent / 100.0)});
}

}  // namespace fireflyspar::decisions
