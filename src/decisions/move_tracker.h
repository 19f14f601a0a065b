// One node's part in all moves: how much of a service's calls go to the new
// version now, what this node has seen of it, what it reports to the judges,
// and, where this node is a judge itself, the judgement. Pure: the caller
// brings outcomes, reports and the time, and carries out the effects. Not
// thread-safe; Record and MovedShare are cheap enough to be called under a lock
// for every call.
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
#include "decisions/move_judge.h"

namespace fireflyspar::decisions {

struct move_tracker_options {
  std::string node_id;
  std::string data_centre;
  std::uint64_t incarnation = 0;  // Grows with each start of the node.
  config::move_policy policy;

  // Whether this node is now one of its data centre's judges of the move.
  // Empty: it is one when it has lately been sent a report. Only judges raise
  // the earned share and call a data centre ready.
  std::function<bool(const std::string& move_id)> is_judge;

  // Nodes that may each take a move back on their own evidence. They share a
  // budget of false alarms, so a greater number makes each of them slower.
  int expected_nodes = 64;

  base::duration report_interval = std::chrono::milliseconds(500);
};

// What the caller is to carry out. Moves are to be merged into what the node
// holds and spread; doing so again is harmless.
struct move_effects {
  std::vector<evidence_report> reports_to_send;
  std::vector<move> verdicts;  // Taken back here, with the evidence.
  std::vector<move> updates;   // Running moves whose earned share grew, or
                               // that have come under suspicion.
  // Moves that this data centre's judges found good for the whole bake.
  std::vector<std::string> ready;
};

class move_tracker {
 public:
  explicit move_tracker(move_tracker_options options);

  // The policy of the preset now in force.
  void SetPolicy(const config::move_policy& policy);

  // All moves that are known now, sorted by start, then id, as in fleet_view.
  // A move that is not among them is forgotten.
  void SetMoves(std::span<const move> moves, base::instant now);

  // Counts one call that this node dispatched.
  void Record(const call_outcome& outcome, base::instant now);

  // Takes in a report that was sent to this node as a judge, also this node's
  // own.
  void Merge(const evidence_report& report, base::instant now);

  // The share in [0, 1] of the old version's calls that go to the new one now.
  double MovedShare(const move& value, base::instant now) const;

  // Weighs the evidence; to be called about four times a second.
  move_effects Tick(base::instant now);

  // One sentence for an operator on how far a running move is and what it
  // waits for; empty for a move that is not known here.
  std::string Progress(const std::string& move_id, base::instant now) const;

 private:
  // A stretch of time over which this node held the share down.
  struct stretch {
    base::instant from;
    base::instant until;
  };
  struct tracked {
    explicit tracked(move first, double own_budget, double pooled_budget)
        : value(std::move(first)), own(own_budget), pooled(pooled_budget) {}

    move value;
    bool is_waiting = false;  // An earlier move of the service is running.
    move_evidence evidence;
    move_judge own;     // Judges by what this node saw.
    move_judge pooled;  // Judges by what was reported to this node.
    std::uint64_t sequence = 0;
    std::uint64_t reported_calls = 0;
    base::instant reported_at;
    base::instant heard_at;        // When a report last came in.
    std::deque<stretch> cautious;  // The last ones, in order of time.
    base::instant full_since;      // Zero: not at the full share.
    bool is_ready = false;
  };

  static void NoteCaution(tracked& of, base::instant now);
  static bool WasCautious(const tracked& of, base::instant at);
  bool IsJudge(const tracked& of, base::instant now) const;
  void Report(tracked& of, base::instant now, move_effects& effects);
  void Judge(tracked& of, base::instant now, move_effects& effects);
  void Suspect(tracked& of, base::instant now, move_effects& effects);
  void Bake(tracked& of, base::instant now, move_effects& effects);
  double ShareOf(const tracked& of, const move& heard, base::instant now) const;

  move_tracker_options options_;
  std::map<std::string, tracked, std::less<>> moves_;     // By id.
  std::map<std::string, tracked*, std::less<>> running_;  // By service.
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_MOVE_TRACKER_H_
