#include "decisions/shared_retry_budget.h"

#include <algorithm>

namespace fireflyspar::decisions {
namespace {

// Maximum number of unused retries that are kept, in addition to the proxy's
// part of the fixed number for a window.
constexpr double kMaxSavedRetries = 4;

}  // namespace

shared_retry_budget::account& shared_retry_budget::Fill(
    std::string_view service, base::steady_instant now) {
  auto found = accounts_.find(service);
  if (found == accounts_.end()) {
    found = accounts_
                .emplace(std::string(service),
                         account{.tokens = 0, .filled = started_})
                .first;
  }
  account& filled = found->second;
  const double windows = std::chrono::duration<double>(now - filled.filled) /
                         std::chrono::duration<double>(options_.window);
  filled.tokens = std::min(OwnRetriesPerWindow() + kMaxSavedRetries,
                           filled.tokens + windows * OwnRetriesPerWindow());
  filled.filled = now;
  return filled;
}

void shared_retry_budget::OnFirstAttempt(std::string_view service,
                                         base::steady_instant now) {
  account& filled = Fill(service, now);
  filled.tokens = std::min(OwnRetriesPerWindow() + kMaxSavedRetries,
                           filled.tokens + options_.ratio * options_.used_part);
}

bool shared_retry_budget::TryTake(std::string_view service,
                                  base::steady_instant now) {
  account& filled = Fill(service, now);
  if (filled.tokens < 1) return false;
  filled.tokens -= 1;
  return true;
}

}  // namespace fireflyspar::decisions
