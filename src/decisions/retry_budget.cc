#include "decisions/retry_budget.h"

#include <chrono>

namespace fireflyspar::decisions {
namespace {

// Added to the budget of every window, so that calls to a service with little
// traffic can be retried at all: at 3 calls a second and 10%, a window of 10 s
// allows 3 retries, and this adds one.
constexpr std::int64_t kFreeRetriesPerWindow = 1;

constexpr std::int64_t kHundred = 100;

std::int64_t SecondOf(base::instant now) {
  return std::chrono::floor<std::chrono::seconds>(now)
      .time_since_epoch()
      .count();
}

}  // namespace

retry_budget::slice& retry_budget::SliceAt(base::instant now) {
  const std::int64_t second = SecondOf(now);
  slice& current = slices_[static_cast<std::size_t>(second) % kWindowSeconds];
  if (current.second != second) current = {.second = second};
  return current;
}

void retry_budget::OnFirstAttempt(base::instant now) {
  ++SliceAt(now).first_attempts;
}

bool retry_budget::TryTake(int percent, base::instant now) {
  slice& current = SliceAt(now);
  std::int64_t first_attempts = 0;
  std::int64_t retries = 0;
  for (const slice& each : slices_) {
    const bool in_window = current.second - each.second <
                           static_cast<std::int64_t>(kWindowSeconds);
    if (!in_window) continue;
    first_attempts += each.first_attempts;
    retries += each.retries;
  }
  const std::int64_t allowed =
      first_attempts * percent / kHundred + kFreeRetriesPerWindow;
  if (percent <= 0 || retries >= allowed) return false;
  ++current.retries;
  return true;
}

}  // namespace fireflyspar::decisions
