#include "decisions/request_rate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace fireflyspar::decisions {
namespace {

// Unused turns are kept for this long.
constexpr std::chrono::duration<double> kKeptTurns{0.25};

// The least rate, in requests a second.
constexpr double kMinPerSecond = 0.2;

}  // namespace

void request_rate::SetLimit(std::optional<double> per_second,
                            base::steady_instant now) {
  if (per_second) per_second = std::max(*per_second, kMinPerSecond);
  if (per_second == per_second_) return;
  // A new limit starts without unused turns: what the server got just before
  // may already be more than it allows.
  turns_ = IsLimited() ? std::min(0.0, TurnsAt(now)) : 0;
  counted_at_ = now;
  per_second_ = per_second;
}

double request_rate::TurnsAt(base::steady_instant now) const {
  const double kept = std::max(1.0, *per_second_ * kKeptTurns.count());
  const std::chrono::duration<double> since =
      std::max(now, counted_at_) - counted_at_;
  return std::min(kept, turns_ + since.count() * *per_second_);
}

void request_rate::Take(base::steady_instant now) {
  if (!IsLimited()) return;
  turns_ = TurnsAt(now) - 1;
  counted_at_ = std::max(now, counted_at_);
}

base::duration request_rate::WaitBehind(std::int64_t ahead,
                                        base::steady_instant now) const {
  if (!IsLimited()) return {};
  const double missing = static_cast<double>(ahead) + 1 - TurnsAt(now);
  const std::chrono::duration<double> wait(std::max(0.0, missing) /
                                           *per_second_);
  return std::chrono::ceil<base::duration>(wait);
}

}  // namespace fireflyspar::decisions
