#include "decisions/repeat_budget.h"

#include <algorithm>

namespace fireflyspar::decisions {
namespace {

// Unspent repeats are kept up to this many, beside the own slack.
constexpr double kMostSaved = 4;

}  // namespace

repeat_budget::account& repeat_budget::Fill(std::string_view service,
                                            base::steady_instant now) {
  auto found = accounts_.find(service);
  if (found == accounts_.end()) {
    found = accounts_
                .emplace(std::string(service),
                         account{.tokens = OwnSlack(), .filled = now})
                .first;
  }
  account& filled = found->second;
  const double windows = std::chrono::duration<double>(now - filled.filled) /
                         std::chrono::duration<double>(options_.window);
  filled.tokens =
      std::min(OwnSlack() + kMostSaved, filled.tokens + windows * OwnSlack());
  filled.filled = now;
  return filled;
}

void repeat_budget::OnFirstSend(std::string_view service,
                                base::steady_instant now) {
  account& filled = Fill(service, now);
  filled.tokens =
      std::min(OwnSlack() + kMostSaved,
               filled.tokens + options_.ratio * options_.spent_part);
}

bool repeat_budget::TryTake(std::string_view service,
                            base::steady_instant now) {
  account& filled = Fill(service, now);
  if (filled.tokens < 1) return false;
  filled.tokens -= 1;
  return true;
}

}  // namespace fireflyspar::decisions
