// Bounds what a node spends on full syncs (all records, or a whole
// configuration) when many nodes return at once: a token bucket. A node that is
// turned away is told of others to ask, and tries after a random delay.
#ifndef FIREFLYSPAR_DECISIONS_SYNC_GATE_H_
#define FIREFLYSPAR_DECISIONS_SYNC_GATE_H_

#include <algorithm>

#include "base/hooks.h"

namespace fireflyspar::decisions {

struct sync_gate_options {
  double per_second = 8;
  double burst = 16;
};

class sync_gate {
 public:
  explicit sync_gate(sync_gate_options options)
      : options_(options), tokens_(options.burst) {}

  // True when one more full sync may be given now.
  bool Admit(base::instant now) {
    const double seconds =
        std::chrono::duration<double>(now - refilled_).count();
    refilled_ = now;
    tokens_ = std::clamp(tokens_ + seconds * options_.per_second, 0.0,
                         options_.burst);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  sync_gate_options options_;
  double tokens_;
  base::instant refilled_;
};

// A random delay before trying again ("full jitter"): uniform up to a limit
// that doubles with each failure.
inline base::duration RetryDelay(int failures, base::duration first,
                                 base::duration most, std::uint64_t draw) {
  constexpr int kMostDoublings = 20;
  const base::duration limit =
      std::min(most, first * (1 << std::min(failures, kMostDoublings)));
  return base::duration(static_cast<std::int64_t>(
      base::Unit(draw) * static_cast<double>(limit.count())));
}

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_SYNC_GATE_H_
