#include "decisions/trial_admission.h"

namespace fireflyspar::decisions {

suspect_refusal trial_admission::Evaluate(suspicion state,
                                          std::string_view digest,
                                          bool is_trial) const {
  if (state == suspicion::kWithheld) return suspect_refusal::kWithheld;
  if (state != suspicion::kOnTrial) return suspect_refusal::kNone;
  if (on_trial_ == digest) return suspect_refusal::kRunsAlready;
  if (!is_trial) return suspect_refusal::kNotTriedHere;
  return on_trial_.empty() ? suspect_refusal::kNone
                           : suspect_refusal::kOtherOnTrial;
}

void trial_admission::Enter(suspicion state, std::string_view digest) {
  if (state == suspicion::kOnTrial) on_trial_ = digest;
}

void trial_admission::Leave(suspicion state) {
  if (state == suspicion::kOnTrial) on_trial_.clear();
}

}  // namespace fireflyspar::decisions
