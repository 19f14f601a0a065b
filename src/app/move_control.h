// Joins the pure judgement of moves (decisions/move_tracker.h) to the rest of
// the node: outcomes of calls go in from the call path's threads, reports go to
// the judges, verdicts to the other nodes, and outcomes to the platform.
#ifndef FIREFLYSPAR_APP_MOVE_CONTROL_H_
#define FIREFLYSPAR_APP_MOVE_CONTROL_H_

#include <functional>
#include <mutex>
#include <string>

#include "base/hooks.h"
#include "decisions/fleet_view.h"
#include "decisions/move_tracker.h"

namespace fireflyspar::app {

struct move_control_options {
  decisions::move_tracker_options tracker;
  base::clock_hook clock;

  std::function<void(const decisions::evidence_report&)> send_report;
  std::function<void(const decisions::move&)> offer_move;

  // Has the outcome written at the platform; asked again until it is final.
  std::function<void(const decisions::move&)> write_outcome;

  // Has this data centre's word that the move is good written there.
  std::function<void(const std::string& move_id)> write_ready;
};

// Safe to call from any thread; one lock, held for short work only and never
// while a hook runs.
class move_control {
 public:
  explicit move_control(move_control_options options);

  void SetView(const decisions::fleet_view& view);
  void Record(const decisions::call_outcome& outcome);
  void Merge(const decisions::evidence_report& report);
  double MovedShare(const decisions::move& move) const;

  // Called a few times a second.
  void Tick();

 private:
  move_control_options options_;
  mutable std::mutex mutex_;
  decisions::move_tracker tracker_;
};

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_MOVE_CONTROL_H_
