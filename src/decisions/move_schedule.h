// The schedule of a move: the share of calls that goes to the new version at a
// given time. It is a pure function of the move, the policy and the time, which
// each node evaluates on its own. No step needs a write, so an outage of the
// platform does not stop a good move. The schedule is only an upper bound; the
// share is also limited by the evidence for the new version (move_evaluator.h).
#ifndef FIREFLYSPAR_DECISIONS_MOVE_SCHEDULE_H_
#define FIREFLYSPAR_DECISIONS_MOVE_SCHEDULE_H_

#include "base/hooks.h"
#include "config/preset.h"
#include "decisions/move.h"

namespace fireflyspar::decisions {

// The share that stays on the old version until the move is done, so that calls
// of both versions at the same times can be compared up to the end.
inline constexpr double kControlShare = 0.05;

// The maximum share of the new version while the move is running.
inline constexpr double kFullShare = 1.0 - kControlShare;

// The maximum share while the new version is under suspicion. At about this
// share each call gives the most evidence on which version is worse, and three
// of four calls still go to the old version.
inline constexpr double kSuspicionShareCap = 0.25;

// Returns the time at which the schedule reaches the full share. It leaves time
// for the bake and for writing the outcome before the move's deadline, but is
// never before its start.
base::instant FullShareAt(const move& value, const config::move_policy& policy);

// Returns whether the move has time for a ramp and the whole bake before its
// deadline. A move that does not fit still runs, but ends late.
bool FitsInTime(const move& value, const config::move_policy& policy);

// Returns the share of calls, in [0, 1], that may go to the new version of a
// running move now. It is zero before the start, and then the minimum of the
// schedule's ramp, the share that the evidence justifies and, under suspicion,
// kSuspicionShareCap.
double AllowedShare(const move& value, const config::move_policy& policy,
                    base::instant now);

// The fields of a move that limit its share and change while it runs.
struct share_limits {
  int proven_percent = 0;
  base::instant share_capped_until;
};

// As above, with the given limits in place of the move's own fields.
double AllowedShare(const move& value, const config::move_policy& policy,
                    const share_limits& limits, base::instant now);

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_MOVE_SCHEDULE_H_
