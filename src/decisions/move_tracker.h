// One node's part in all moves. The tracker decides what share of a service's
// calls goes to the new version now, counts the outcomes of this node's calls
// and reports them to the evaluators. It evaluates this node's own counts and,
// if this node is an evaluator, the reports that it receives. It does no input
// or output: its owner passes in outcomes, reports and the time, and carries
// out the effects. The class is not thread-safe; Record and MovedShare are
// cheap enough to be called under a lock for every call.
#ifndef FIREFLYSPAR_DECISIONS_MOVE_TRACKER_H_
#define FIREFLYSPAR_DECISIONS_MOVE_TRACKER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/hooks.h"
#include "config/preset.h"
#include "decisions/call_outcome.h"
#include "decisions/evidence.h"
#include "decisions/evidence_report.h"
#include "decisions/move.h"
#include "decisions/move_evaluator.h"

namespace fireflyspar::decisions {

struct move_tracker_options {
  std::string node_id;
  std::string data_centre;
  std::uint64_t incarnation = 0;  // Increases at each start of the node.
  config::move_policy policy;

  // Returns whether this node is now one of its data centre's evaluators of the
  // move. If the function is empty, the node is an evaluator for a few seconds
  // after each report that it receives. Only evaluators raise the share that a
  // move has proven and declare a data centre ready.
  std::function<bool(const std::string& move_id)> is_evaluator;

  // The number of nodes that can each roll back a move on their own evidence.
  // They share a false alarm budget, so with a greater number each of them
  // needs more evidence and is slower.
  int expected_nodes = 64;

  base::duration report_interval = std::chrono::milliseconds(500);
};

// The effects that the tracker's owner must carry out. It merges the moves into
// the node's copies and sends them to other nodes; repeating this is harmless.
struct move_effects {
  std::vector<evidence_report> reports_to_send;
  std::vector<move> rollbacks;  // Moves rolled back here, with evidence.
  // Running moves whose proven share grew or whose share is capped because of a
  // suspicion.
  std::vector<move> updates;
  // Ids of moves for which this node, an evaluator, declares its data centre
  // ready: it found no fault in the new version for the whole bake.
  std::vector<std::string> ready;
};

class move_tracker {
 public:
  explicit move_tracker(move_tracker_options options);

  // Sets the policy of the preset that is now in force.
  void SetPolicy(const config::move_policy& policy);

  // Sets all moves that are known now, sorted by start, then id, as in
  // fleet_view. The tracker drops every move that is not among them.
  void SetMoves(std::span<const move> moves, base::instant now);

  // Counts the outcome of a call that this node dispatched.
  void Record(const call_outcome& outcome, base::instant now);

  // Merges a report that was sent to this node as an evaluator. This includes
  // the node's own reports.
  void Merge(const evidence_report& report, base::instant now);

  // Returns the share, in [0, 1], of the old version's calls that now go to the
  // new version.
  double MovedShare(const move& value, base::instant now) const;

  // Evaluates the evidence. To be called about four times a second.
  move_effects Tick(base::instant now);

  // Returns one sentence for an operator on the progress of a running move and
  // on what it is waiting for, or an empty string if the move is not known
  // here.
  std::string Progress(const std::string& move_id, base::instant now) const;

 private:
  // An interval in which the share was capped, as this node knew it.
  struct interval {
    base::instant from;
    base::instant until;
  };
  struct tracked_move {
    explicit tracked_move(move first, double local_budget, double pooled_budget)
        : value(std::move(first)),
          local_evaluator(local_budget),
          pooled_evaluator(pooled_budget) {}

    move value;
    bool is_waiting = false;  // Waits for the service's earlier move.
    move_evidence evidence;
    move_evaluator local_evaluator;  // Evaluates this node's counts alone.
    move_evaluator
        pooled_evaluator;        // Evaluates the reports received by this node.
    std::uint64_t sequence = 0;  // Of the last report made here.
    std::uint64_t reported_calls = 0;  // Calls in the last report sent.
    base::instant report_sent_at;      // When a report was last sent.
    base::instant report_received_at;  // When a report was last received.
    std::deque<interval>
        capped_intervals;      // The latest intervals, oldest first.
    base::instant full_since;  // Zero while not at the full share.
    bool is_ready = false;
  };

  // Records the interval of a share cap that is active at `now`.
  static void RecordShareCap(tracked_move& tracked, base::instant now);
  // Returns whether the share was capped at the time `at`.
  static bool WasShareCapped(const tracked_move& tracked, base::instant at);
  bool IsEvaluator(const tracked_move& tracked, base::instant now) const;

  // The steps of Tick for one move.
  void Report(tracked_move& tracked, base::instant now, move_effects& effects);
  void Evaluate(tracked_move& tracked, base::instant now,
                move_effects& effects);
  void RenewShareCap(tracked_move& tracked, base::instant now,
                     move_effects& effects);
  void Bake(tracked_move& tracked, base::instant now, move_effects& effects);

  // Returns MovedShare for a copy of the move that may be newer or older than
  // the tracked one.
  double ShareOf(const tracked_move& tracked, const move& received,
                 base::instant now) const;

  move_tracker_options options_;
  std::map<std::string, tracked_move, std::less<>> moves_;  // By id.
  // By service: its first move whose outcome is not final.
  std::map<std::string, tracked_move*, std::less<>> running_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_MOVE_TRACKER_H_
