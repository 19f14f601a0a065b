// When a move's calls go over: a pure function of the move, the policy and the
// time, which every node evaluates alone. No step needs a write, so an outage
// of the platform does not stop a good move. What the schedule allows is only
// an upper bound; the share is also capped by what the new version has earned
// through evidence (move_judge.h).
#ifndef FIREFLYSPAR_DECISIONS_MOVE_SCHEDULE_H_
#define FIREFLYSPAR_DECISIONS_MOVE_SCHEDULE_H_

#include "base/hooks.h"
#include "config/preset.h"
#include "decisions/move.h"

namespace fireflyspar::decisions {

// The share that stays on the old version until the move is done, so that the
// two versions can be compared at the same moments up to the end.
inline constexpr double kControlShare = 0.05;

// The greatest share that a running move gives to the new version.
inline constexpr double kFullShare = 1.0 - kControlShare;

// The greatest share while the new version is under suspicion: about where a
// call tells most about which version is worse, with three of four calls safe.
inline constexpr double kCautiousShare = 0.25;

// The moment at which the schedule reaches the full share: early enough for
// the bake and for writing the outcome before `by`. Never before `start`.
base::instant FullShareAt(const move& value, const config::move_policy& policy);

// Whether the move leaves time for a ramp and the whole bake before `by`. One
// that does not still runs, but ends late.
bool FitsInTime(const move& value, const config::move_policy& policy);

// The share in [0, 1] that a running move may have now: zero before its start,
// then the least of the schedule's ramp, of what has been earned and, under
// suspicion, of kCautiousShare.
double AllowedShare(const move& value, const config::move_policy& policy,
                    base::instant now);

// The part of AllowedShare that changes while a move runs.
struct earned_share {
  int cleared_percent = 0;
  base::instant cautious_until;
};

double AllowedShare(const move& value, const config::move_policy& policy,
                    const earned_share& earned, base::instant now);

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_MOVE_SCHEDULE_H_
