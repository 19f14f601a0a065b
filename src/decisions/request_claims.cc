#include "decisions/request_claims.h"

namespace fireflyspar::decisions {

// With a skew of 5 s, an id that the previous process claimed right before this
// start may have a creation time up to 5 s after it.
request_claims::request_claims(base::instant started, claim_options options)
    : options_(options),
      accepts_from_(started + options.skew + options.settling) {}

claim_verdict request_claims::CheckAge(const request_id& id,
                                       base::instant now) const {
  if (now > id.birth + options_.life) return claim_verdict::kTooOld;
  if (id.birth > now + options_.skew) return claim_verdict::kFromFuture;
  if (options_.fences_restart && id.birth < accepts_from_) {
    return claim_verdict::kFenced;
  }
  return claim_verdict::kGranted;
}

claim_verdict request_claims::Begin(const request_id& id,
                                    std::string_view claimant,
                                    base::instant now) {
  if (claimants_.contains(id.text)) return claim_verdict::kTaken;
  return Guard(id, claimant, now);
}

claim_verdict request_claims::Guard(const request_id& id,
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
  if (claimants_.size() >= options_.most) return claim_verdict::kFull;
  claimants_.emplace(id.text, claimant);
  by_birth_.emplace(id.birth, id.text);
  return claim_verdict::kGranted;
}

void request_claims::Release(const request_id& id, std::string_view claimant) {
  const auto found = claimants_.find(id.text);
  if (found == claimants_.end() || found->second != claimant) return;
  claimants_.erase(found);
  by_birth_.erase({id.birth, id.text});
}

void request_claims::Prune(base::instant now) {
  while (!by_birth_.empty() && now > by_birth_.begin()->first + options_.life) {
    claimants_.erase(by_birth_.begin()->second);
    by_birth_.erase(by_birth_.begin());
  }
}

}  // namespace fireflyspar::decisions
