// Connects the evaluation of moves (decisions/move_tracker.h), which has no
// side effects, to the rest of the node: it passes the outcomes of calls in
// from the call path's threads, evidence reports to the evaluators, verdicts to
// the other nodes, and outcomes of moves to the platform.
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

  // Sends the report to the evaluators of its move.
  std::function<void(const decisions::evidence_report&)> send_report;

  // Merges the move into this node's state and distributes it.
  std::function<void(const decisions::move&)> offer_move;

  // Writes the move's outcome to the platform. Called again until the outcome
  // is final.
  std::function<void(const decisions::move&)> write_outcome;

  // Writes to the platform that this data centre's evaluators found the new
  // version good.
  std::function<void(const std::string& move_id)> write_ready;
};

// Thread-safe. Its one lock is held only for short operations and never while a
// hook runs.
class move_control {
 public:
  explicit move_control(move_control_options options);

  // Takes over the moves, and the policy of the preset in force, from the view.
  void SetView(const decisions::fleet_view& view);

  // Counts a call that this node dispatched.
  void Record(const decisions::call_outcome& outcome);

  // Merges a report that this node received as an evaluator.
  void Merge(const decisions::evidence_report& report);

  // Returns the share, in [0, 1], of the old version's calls that go to the new
  // version now.
  double MovedShare(const decisions::move& move) const;

  // Evaluates the moves and calls the hooks with the results. Must be called a
  // few times a second.
  void Tick();

 private:
  move_control_options options_;
  mutable std::mutex mutex_;
  decisions::move_tracker tracker_;
};

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_MOVE_CONTROL_H_
