// Who may run a request that may not be repeated. Each request id is claimed in
// the tables of two nodes, its home and its guard, before it is dispatched; an
// id that either table holds for somebody else is not run again.
//
// Tables live in memory, so what they forget is fenced by the id's birth:
// - an id older than its life is refused by everyone, so an entry may be
//   dropped once its id is;
// - a process that has just started may have forgotten ids that its forerunner
//   claimed, so it refuses ids born before it had settled.
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
  base::duration life = std::chrono::seconds(60);  // Of an id, from its birth.
  base::duration skew = std::chrono::seconds(5);   // Between any two clocks.
  // How long after its start a node has heard of all others.
  base::duration settling = std::chrono::seconds(5);
  std::size_t most = 100'000;  // Entries.
  bool fences_restart = true;  // Off only in the tests that show its need.
};

enum class claim_verdict {
  kGranted,
  kTaken,       // Somebody else has it, or it has begun here before.
  kTooOld,      // Past its life.
  kFromFuture,  // Born later than clocks can differ.
  kFenced,      // Born before this process had settled.
  kFull,        // No space for another entry.
};

class request_claims {
 public:
  explicit request_claims(base::instant started, claim_options options = {});

  // As the id's home, `claimant`, which dispatches when this and the guard's
  // answer are kGranted. An id is granted here once.
  claim_verdict Begin(const request_id& id, std::string_view claimant,
                      base::instant now);

  // As the id's guard, for the home that asks. The same home is granted the id
  // again, since its own table keeps it from running the request twice.
  claim_verdict Guard(const request_id& id, std::string_view claimant,
                      base::instant now);

  // Undoes Begin for a request that certainly was not run.
  void Release(const request_id& id, std::string_view claimant);

  std::size_t size() const { return claimants_.size(); }

 private:
  claim_verdict CheckAge(const request_id& id, base::instant now) const;
  void Prune(base::instant now);

  claim_options options_;
  base::instant accepts_from_;
  std::map<std::string, std::string, std::less<>> claimants_;  // By id.
  std::set<std::pair<base::instant, std::string>> by_birth_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_REQUEST_CLAIMS_H_
