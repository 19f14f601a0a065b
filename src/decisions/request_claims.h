// Ensures that a request which may not be repeated runs at most once. Each
// request id is claimed in the tables of two nodes, its home and its guard,
// before the request is dispatched. An id that either table holds for another
// claimant is not run again.
//
// The tables are kept in memory only. Checks of the id's creation time make up
// for entries that were dropped or lost:
// - an id past its lifetime is refused by every node, so its entry may be
//   dropped then;
// - a process that has just started may lack the ids that the previous process
//   claimed, so it refuses ids created before it had heard of all other nodes,
//   with an allowance for clock skew.
#ifndef FIREFLYSPAR_DECISIONS_REQUEST_CLAIMS_H_
#define FIREFLYSPAR_DECISIONS_REQUEST_CLAIMS_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "base/hooks.h"
#include "decisions/request_id.h"

namespace fireflyspar::decisions {

struct claim_options {
  // Lifetime of an id, from its creation.
  base::duration id_lifetime = std::chrono::seconds(60);

  // Maximum difference between any two clocks.
  base::duration max_clock_skew = std::chrono::seconds(5);

  // Time from a node's start until it has heard of all other nodes.
  base::duration discovery_time = std::chrono::seconds(5);

  // Maximum number of entries in the table.
  std::size_t max_entries = 100'000;

  // Whether ids created before the process's start, or too soon after it, are
  // refused. False only in the tests that show why this check is needed.
  bool fences_restart = true;
};

enum class claim_verdict {
  kGranted,
  kTaken,       // Claimed by another claimant, or granted here before.
  kTooOld,      // Past its lifetime.
  kFromFuture,  // Created later than the clock skew allows.
  kFenced,      // Created before this process knew all others.
  kFull,        // The table is full.
};

class request_claims {
 public:
  explicit request_claims(base::instant started, claim_options options = {});

  // Claims the id for `claimant` as the id's home. The claimant dispatches the
  // request only when both this and the guard's answer are kGranted. An id is
  // granted here once.
  claim_verdict ClaimAsHome(const request_id& id, std::string_view claimant,
                            base::instant now);

  // Claims the id as its guard, for the home `claimant`. The same home is
  // granted the id again, since its own table keeps it from running the request
  // twice.
  claim_verdict ClaimAsGuard(const request_id& id, std::string_view claimant,
                             base::instant now);

  // Drops the home's claim on a request that certainly was not run.
  void Release(const request_id& id, std::string_view claimant);

  std::size_t size() const { return claimants_.size(); }

 private:
  claim_verdict CheckAge(const request_id& id, base::instant now) const;
  void Prune(base::instant now);

  claim_options options_;
  base::instant accepts_from_;
  std::map<std::string, std::string, std::less<>> claimants_;  // By id.
  std::set<std::pair<base::instant, std::string>> by_creation_time_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_REQUEST_CLAIMS_H_
