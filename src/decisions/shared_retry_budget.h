// Limits how often this proxy may retry a request at another backend server.
// All proxies share one bound for each service: a ratio of retries to first
// attempts, plus a fixed number of retries in each window. Each proxy applies a
// part of the ratio to its own first attempts and takes an equal share of the
// fixed number, so that all proxies together stay below the bound without
// coordination.
#ifndef FIREFLYSPAR_DECISIONS_SHARED_RETRY_BUDGET_H_
#define FIREFLYSPAR_DECISIONS_SHARED_RETRY_BUDGET_H_

#include <map>
#include <string>
#include <string_view>

#include "base/hooks.h"

namespace fireflyspar::decisions {

struct shared_retry_budget_options {
  double ratio = 0.2;  // Retries for each first attempt, over all proxies.
  double retries_per_window =
      0;  // Further retries of all proxies in each window.
  base::duration window = std::chrono::seconds(10);
  // Part of the bound that the proxies use. The rest is left for repeated calls
  // that no proxy recognizes as retries, such as the nested calls that a
  // retried request makes again.
  double used_part = 0.6;

  bool operator==(const shared_retry_budget_options&) const = default;
};

class shared_retry_budget {
 public:
  // `started`: when this proxy started. What it may retry grows from nothing
  // then: a proxy that is restarted again and again would otherwise spend its
  // share of the fixed number each time.
  explicit shared_retry_budget(shared_retry_budget_options options,
                               base::steady_instant started = {})
      : options_(options), started_(started) {}

  // Sets how many proxies share `retries_per_window`; less than 1 counts as 1.
  void SetProxies(int count) { proxies_ = count < 1 ? 1 : count; }

  // Records a first attempt, which earns a part of a retry.
  void OnFirstAttempt(std::string_view service, base::steady_instant now);

  // Takes one retry from the budget. Returns false if none is left.
  bool TryTake(std::string_view service, base::steady_instant now);

 private:
  struct account {
    double tokens = 0;
    base::steady_instant filled;
  };

  // Returns the service's account, with the tokens earned until `now`.
  account& Fill(std::string_view service, base::steady_instant now);

  // Returns the part of `retries_per_window` that this proxy may use in a
  // window.
  double OwnRetriesPerWindow() const {
    return options_.used_part * options_.retries_per_window / proxies_;
  }

  shared_retry_budget_options options_;
  base::steady_instant started_;
  int proxies_ = 1;
  std::map<std::string, account, std::less<>> accounts_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_SHARED_RETRY_BUDGET_H_
