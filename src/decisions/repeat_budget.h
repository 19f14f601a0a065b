// How often this proxy may send a request to a second backend server. All
// proxies share one bound for each service: so many repeats for each first
// send, and some more. Each proxy spends a part of the ratio on its own first
// sends and an equal part of the rest, so that together they stay below the
// bound without talking to each other.
#ifndef FIREFLYSPAR_DECISIONS_REPEAT_BUDGET_H_
#define FIREFLYSPAR_DECISIONS_REPEAT_BUDGET_H_

#include <map>
#include <string>
#include <string_view>

#include "base/hooks.h"

namespace fireflyspar::decisions {

struct repeat_budget_options {
  double ratio = 0.2;  // Repeats for each first send, of all proxies together.
  double slack = 0;    // Repeats in each window beside these.
  base::duration window = std::chrono::seconds(10);
  // Part of the bound that is spent; the rest is for repeats that no proxy
  // sees as such, like the calls that a repeated request makes again.
  double spent_part = 0.6;

  bool operator==(const repeat_budget_options&) const = default;
};

class repeat_budget {
 public:
  explicit repeat_budget(repeat_budget_options options) : options_(options) {}

  // How many proxies share the slack, at least 1.
  void SetProxies(int count) { proxies_ = count < 1 ? 1 : count; }

  void OnFirstSend(std::string_view service, base::steady_instant now);

  bool TryTake(std::string_view service, base::steady_instant now);

 private:
  struct account {
    double tokens = 0;
    base::steady_instant filled;
  };

  account& Fill(std::string_view service, base::steady_instant now);

  // The share of the slack that this proxy may spend in a window.
  double OwnSlack() const {
    return options_.spent_part * options_.slack / proxies_;
  }

  repeat_budget_options options_;
  int proxies_ = 1;
  std::map<std::string, account, std::less<>> accounts_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_REPEAT_BUDGET_H_
