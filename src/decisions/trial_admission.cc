#include "decisions/trial_admission.h"

namespace fireflyspar::decisions {

suspect_refusal trial_admission::Evaluate(suspicion state,
                                          std::string_view digest,
                                          bool is_trial) const {
  if (state == suspicion::kWithheld) return suspect_refusal::kWithheld;
  if (state == suspicion::kNone) return suspect_refusal::kNone;
  const bool runs_already = state == suspicion::kOnTrial && on_trial_ == digest;
  if (runs_already) return suspect_refusal::kRunsAlready;
  if (!is_trial) return suspect_refusal::kNotTriedHere;
  const bool is_alone = state == suspicion::kSuspected || suspected_ == 0;
  return on_trial_.empty() && is_alone ? suspect_refusal::kNone
                                       : suspect_refusal::kOtherOnTrial;
}

void trial_admission::Enter(suspicion state, std::string_view digest) {
  if (state == suspicion::kOnTrial) on_trial_ = digest;
  if (state == suspicion::kSuspected) ++suspected_;
}

void trial_admission::Leave(suspicion state) {
  if (state == suspicion::kOnTrial) on_trial_.clear();
  if (state == suspicion::kSuspected) --suspected_;
}

}  // namespace fireflyspar::decisions
