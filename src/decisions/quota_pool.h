// The tokens that a router holds for the requests of limited organisations, and
// when it asks the owners of their limits for more (decisions/quota_owner.h).
// It asks for what its own demand uses up within a short time, so that an
// organisation with many requests costs a few messages a second, and does not
// ask an owner again before that owner has a token to grant.
#ifndef FIREFLYSPAR_DECISIONS_QUOTA_POOL_H_
#define FIREFLYSPAR_DECISIONS_QUOTA_POOL_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/hooks.h"

namespace fireflyspar::decisions {

class quota_pool {
 public:
  // Records that a request of the organisation has arrived.
  void OnDemand(std::string_view organisation, base::steady_instant now);

  // Takes a token. Returns when it expires, or nothing if there is none.
  std::optional<base::steady_instant> Take(std::string_view organisation,
                                           base::steady_instant now);

  // Gives back a token whose request has not run.
  void PutBack(std::string_view organisation, base::steady_instant expires);

  // Returns how many tokens to ask for now: at least one.
  int Wanted(std::string_view organisation, base::steady_instant now);

  // Records a grant.
  void OnGrant(std::string_view organisation, int tokens,
               base::steady_instant expires);

  // Records that an owner has no token before `until`.
  void OnNoGrant(std::string_view organisation, const std::string& owner,
                 base::steady_instant until);

  // Records that an owner did not answer, or owns nothing, and is asked again
  // at `until`.
  void OnUnreachable(std::string_view organisation, const std::string& owner,
                     base::steady_instant until);

  // Returns whether the owner told when it was asked last.
  bool HasAnswered(std::string_view organisation,
                   const std::string& owner) const;

  // Returns until when the owner need not be asked; the past if it may be.
  base::steady_instant NoGrantUntil(std::string_view organisation,
                                    const std::string& owner) const;

  // Forgets the organisations that have not been in demand lately.
  void ForgetIdle(base::steady_instant now);

 private:
  // What an owner last said.
  struct owner_state {
    base::steady_instant no_grant_until;
    bool has_answered = false;
  };

  struct account {
    std::deque<base::steady_instant> expiries;  // Of each token, in order.
    double demand = 0;  // Requests, smoothed over kDemandTime.
    base::steady_instant demand_at;
    std::map<std::string, owner_state> owners;
  };

  const owner_state* FindOwner(std::string_view organisation,
                               const std::string& owner) const;

  static double DemandAt(const account& of, base::steady_instant now);
  account& Find(std::string_view organisation);

  std::map<std::string, account, std::less<>> accounts_;  // By organisation.
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_QUOTA_POOL_H_
