#include "decisions/request_claims.h"

namespace fireflyspar::decisions {

// With a skew of 5 s, an id that the previous process claimed right before this
// start may have a creation time up to 5 s after it.
request_claims::request_claims(base::instant started, claim_options options)
    : options_(options),
      accepts_from_(started + options.max_clock_skew + options.discovery_time) {
}

claim_verdict request_claims::CheckAge(const request_id& id,
                                       base::instant now) const {
  if (now > id.creation_time + options_.id_lifetime) {
    return claim_verdict::kTooOld;
  }
  if (id.creation_time > now + options_.max_clock_skew) {
    return claim_verdict::kFromFuture;
  }
  if (options_.fences_restart && id.creation_time < accepts_from_) {
    return claim_verdict::kFenced;
  }
  return claim_verdict::kGranted;
}

claim_verdict request_claims::ClaimAsHome(const request_id& id,
                                          std::string_view claimant,
                                          base::instant now) {
  if (claimants_.contains(id.text)) return claim_verdict::kTaken;
  return ClaimAsGuard(id, claimant, now);
}

claim_verdict request_claims::ClaimAsGuard(const request_id& id,
                                           std::string_view claimant,
                                           base::instant now) {
  Prune(now);
  const claim_verdict age = CheckAge(id, now);
  if (age != claim_verdict::kGranted) return age;
  const auto found = claimants_.find(id.text);
  if (found != claimants_.end()) {
    return found->second == claimant ? claim_verdict::kGranted
                                     : claim_verdict::kTaken;
  }
  if (claimants_.size() >= options_.max_entries) return claim_verdict::kFull;
  claimants_.emplace(id.text, claimant);
  by_creation_time_.emplace(id.creation_time, id.text);
  return claim_verdict::kGranted;
}

void request_claims::Release(const request_id& id, std::string_view claimant) {
  const auto found = claimants_.find(id.text);
  if (found == claimants_.end() || found->second != claimant) return;
  claimants_.erase(found);
  by_creation_time_.erase({id.creation_time, id.text});
}

void request_claims::Prune(base::instant now) {
  while (!by_creation_time_.empty() &&
         now > by_creation_time_.begin()->first + options_.id_lifetime) {
    claimants_.erase(by_creation_time_.begin()->second);
    by_creation_time_.erase(by_creation_time_.begin());
  }
}

}  // namespace fireflyspar::decisions
