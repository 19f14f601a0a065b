// Lets requests under which servers ended run at one gate: one on trial at a
// time and no other suspect beside it, so that an end says which request caused
// it.
#ifndef FIREFLYSPAR_DECISIONS_TRIAL_ADMISSION_H_
#define FIREFLYSPAR_DECISIONS_TRIAL_ADMISSION_H_

#include <string>
#include <string_view>

#include "decisions/crash_suspects.h"

namespace fireflyspar::decisions {

// Why a gate refuses a request under which servers ended.
enum class suspect_refusal {
  kNone,          // It does not refuse it for that.
  kWithheld,      // It must not run at any server.
  kRunsAlready,   // The same request is on trial at this gate.
  kOtherOnTrial,  // A trial and another suspect would run side by side here.
  kNotTriedHere,  // It must be offered to the gate that is to try it.
};

class trial_admission {
 public:
  // Returns why the request must not run here now. `is_trial`: the router that
  // offers it knows what is known of it, and has chosen this gate by that.
  suspect_refusal Evaluate(suspicion state, std::string_view digest,
                           bool is_trial) const;

  // Must be called around the run of a request that Evaluate did not refuse.
  void Enter(suspicion state, std::string_view digest);
  void Leave(suspicion state);

 private:
  std::string on_trial_;  // Its digest; empty: none is.
  int suspected_ = 0;     // Requests running here that are only suspected.
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_TRIAL_ADMISSION_H_
