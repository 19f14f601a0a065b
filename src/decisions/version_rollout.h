// One service's rollout to a new version, as one proxy carries it out. Until
// the outcome is known, the share of requests that the new version gets depends
// on the time and on a minimum number of requests, so all proxies raise it
// together without messages between them. The evaluation uses the counts that
// the gates of the service's servers send with each response, so each proxy has
// nearly all the evidence at once. If the new version fails or is slow more
// often than the old one, this proxy stops sending it requests at once, even if
// it can reach nothing else.
#ifndef FIREFLYSPAR_DECISIONS_VERSION_ROLLOUT_H_
#define FIREFLYSPAR_DECISIONS_VERSION_ROLLOUT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/hooks.h"
#include "base/store_revision.h"

namespace fireflyspar::decisions {

enum class rollout_state { kRunning, kSucceeded, kRolledBack };

// An operator's order for a rollout, with its state as known here.
struct rollout_order {
  // When the stored object that holds the orders of a service was created.
  base::store_revision created;
  std::string service;
  std::string target_version;
  base::duration period{};  // From the order to its deadline.
  rollout_state state = rollout_state::kRunning;

  bool operator==(const rollout_order&) const = default;
};

// Returns whether `read` is the order `known`, regardless of its state and
// period. The object's creation alone is not enough, because an operator may
// write the next order into the object of the previous one. After the store was
// restored from a copy, the operator writes lost orders again, in new objects:
// the first order of a later era for the same version is the known one.
inline bool IsSameOrder(const rollout_order& known, const rollout_order& read) {
  const bool is_rewritten = known.created.era < read.created.era;
  return (known.created == read.created || is_rewritten) &&
         known.service == read.service &&
         known.target_version == read.target_version;
}

// The requests that one server has run on one route since it started.
struct run_counts {
  std::uint64_t total = 0;
  std::uint64_t failed = 0;
  std::uint64_t slow = 0;

  run_counts& operator+=(const run_counts& other) {
    total += other.total;
    failed += other.failed;
    slow += other.slow;
    return *this;
  }
};

struct version_rollout_options {
  double canary_share = 0.06;  // Also before min_new_requests is reached.
  double middle_share = 0.25;
  double large_share = 0.5;
  // The fractions of the period at which the shares above end.
  double canary_until = 0.45;
  double middle_until = 0.55;
  double large_until = 0.65;
  // The fraction of the period from which on the rollout may be complete.
  double done_at = 0.78;
  // The number of the new version's requests before its share may grow.
  std::uint64_t min_new_requests = 25;
};

class version_rollout {
 public:
  version_rollout(rollout_order order, base::steady_instant began,
                  version_rollout_options options = {});

  const rollout_order& Order() const { return order_; }

  // Applies the same order as read from the store later. The first outcome that
  // the store holds never changes; it replaces what was found here.
  void Update(const rollout_order& read);

  // Records the cumulative counts of the server `server_id` on `route`. Counts
  // older than the recorded ones are ignored.
  void Count(std::string_view server_id, std::string_view version,
             std::string_view route, const run_counts& counts);

  // Returns the share of the service's requests that the new version gets now.
  double Share(base::steady_instant now) const;

  // Evaluates the evidence and rolls the order back if the new version is
  // worse. Returns whether this call rolled it back.
  bool Evaluate();

  // Returns whether the rollout is still running, the new version gets all
  // requests and the period has reached done_at.
  bool IsComplete(base::steady_instant now) const;

  // Returns the evidence as one line for the log.
  std::string Evidence() const;

 private:
  struct source {
    std::string version;
    run_counts first;   // Counts from before this rollout, to be subtracted.
    run_counts latest;  // Latest cumulative counts of the server.
  };

  // Returns the part of the period that has passed; above 1 after its end.
  double ElapsedFraction(base::steady_instant now) const;
  // Returns the requests of one version during the rollout. An empty route
  // stands for all routes, here and below.
  run_counts Sum(bool is_new, std::string_view route) const;
  // Returns all requests that the old version's servers have ever run.
  run_counts OldHistory(std::string_view route) const;
  // Returns whether the new version is worse than the old one on the route.
  bool IsWorse(std::string_view route) const;

  rollout_order order_;
  bool is_outcome_stored_ = false;
  base::steady_instant began_;
  version_rollout_options options_;
  // By server id and route.
  std::map<std::pair<std::string, std::string>, source> sources_;
  // The keys are the routes seen; the values are unused.
  std::map<std::string, int, std::less<>> routes_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_VERSION_ROLLOUT_H_
