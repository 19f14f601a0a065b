// One service's roll-out to a new version, as this proxy sees it. The share of
// the requests that the new version gets is a function of time alone, so that
// all proxies grow it together without talking; the judgement uses the counts
// that the gates of all the service's servers tell with each answer, so that
// each proxy sees nearly all the evidence at once. A version that fails or is
// slow more often than the old one loses its traffic here at once, whoever can
// still be reached.
#ifndef FIREFLYSPAR_DECISIONS_VERSION_TRIAL_H_
#define FIREFLYSPAR_DECISIONS_VERSION_TRIAL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/hooks.h"

namespace fireflyspar::decisions {

enum class trial_state { kRunning, kSucceeded, kRolledBack };

// An operator's order, and what is known of its outcome.
struct trial_order {
  std::uint64_t id = 0;  // Of the object that holds the orders of a service.
  std::string service;
  std::string target_version;
  base::duration period{};  // From the order to the time it must be done by.
  trial_state state = trial_state::kRunning;

  bool operator==(const trial_order&) const = default;
};

// Whether both are the same order, whatever has become of it. An operator may
// give the next order in the object of the last one.
inline bool IsSameOrder(const trial_order& left, const trial_order& right) {
  return left.id == right.id && left.service == right.service &&
         left.target_version == right.target_version;
}

// Requests that one server ran on one route since it started.
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

struct version_trial_options {
  double canary_share = 0.06;  // Until there is enough evidence.
  double middle_share = 0.25;
  double large_share = 0.5;
  // Parts of the period at which the shares above are left.
  double canary_until = 0.45;
  double middle_until = 0.55;
  double large_until = 0.65;
  double done_at = 0.78;          // The order may be called done from here on.
  std::uint64_t least_runs = 25;  // Of the new version before it may grow.
};

class version_trial {
 public:
  version_trial(trial_order order, base::steady_instant began,
                version_trial_options options = {});

  const trial_order& Order() const { return order_; }

  // What the store says of the order; an outcome never changes again.
  void SetState(trial_state state);

  // Cumulative counts of the server `server_id` on `route`; older ones than
  // are known change nothing.
  void Count(std::string_view server_id, std::string_view version,
             std::string_view route, const run_counts& counts);

  // Share of the service's requests that the new version gets now.
  double Share(base::steady_instant now) const;

  // Looks at the evidence; true when the new version has just been found bad.
  bool Judge();

  // Whether the new version has carried everything for long enough.
  bool IsComplete(base::steady_instant now) const;

  // The evidence in one line, for logs.
  std::string Evidence() const;

 private:
  struct source {
    std::string version;
    run_counts first;  // What had been counted before this trial.
    run_counts latest;
  };

  double PartOfPeriod(base::steady_instant now) const;
  run_counts Sum(bool is_new, std::string_view route) const;
  run_counts OldHistory(std::string_view route) const;
  bool IsWorse(std::string_view route) const;

  trial_order order_;
  base::steady_instant began_;
  version_trial_options options_;
  std::map<std::pair<std::string, std::string>, source> sources_;
  std::map<std::string, int, std::less<>> routes_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_VERSION_TRIAL_H_
