#include "decisions/move_schedule.h"

#include <algorithm>
#include <chrono>

namespace fireflyspar::decisions {
namespace {

using std::chrono::seconds;

// Time kept free between the end of the bake and `by`: for reports, for the
// word of each data centre, for the write at the platform and for clocks that
// differ by some hundred milliseconds.
base::duration MarginOf(const move& value) {
  constexpr int kMarginDivisor = 20;
  const base::duration whole = value.by - value.start;
  return std::clamp<base::duration>(whole / kMarginDivisor, seconds(2),
                                    seconds(30));
}

double UnprovenShare(const config::move_policy& policy) {
  return std::clamp(policy.max_unproven_percent / 100.0, 0.0, kFullShare);
}

// The ramp: a straight line from the unproven share at `start` to the full
// share at FullShareAt.
double ScheduledShare(const move& value, const config::move_policy& policy,
                      base::instant now) {
  const base::instant full_at = FullShareAt(value, policy);
  if (now >= full_at) return kFullShare;
  const std::chrono::duration<double> ramp = full_at - value.start;
  const std::chrono::duration<double> gone = now - value.start;
  const double unproven = UnprovenShare(policy);
  return unproven + (kFullShare - unproven) * (gone / ramp);
}

}  // namespace

base::instant FullShareAt(const move& value,
                          const config::move_policy& policy) {
  return std::max(value.start, value.by - policy.bake - MarginOf(value));
}

bool FitsInTime(const move& value, const config::move_policy& policy) {
  return FullShareAt(value, policy) > value.start;
}

double AllowedShare(const move& value, const config::move_policy& policy,
                    base::instant now) {
  return AllowedShare(value, policy,
                      {.cleared_percent = value.cleared_percent,
                       .cautious_until = value.cautious_until},
                      now);
}

double AllowedShare(const move& value, const config::move_policy& policy,
                    const earned_share& earned, base::instant now) {
  if (now < value.start) return 0;
  const double most = now < earned.cautious_until ? kCautiousShare : 1;
  const double unproven = UnprovenShare(policy);
  return std::min({ScheduledShare(value, policy, now), most,
                   std::max(unproven, earned.cleared_percent / 100.0)});
}

}  // namespace fireflyspar::decisions
