// Spaces out the requests to a backend server that takes only so many a second.
// A turn comes up every 1/limit seconds; a few unused turns are kept, so that
// requests that arrive unevenly still use the whole limit.
#ifndef FIREFLYSPAR_DECISIONS_REQUEST_RATE_H_
#define FIREFLYSPAR_DECISIONS_REQUEST_RATE_H_

#include <optional>

#include "base/hooks.h"

namespace fireflyspar::decisions {

class request_rate {
 public:
  // Sets the limit in requests a second; nullopt: none. A server that takes no
  // requests at all still gets one every few seconds, since only an answer can
  // tell that it takes them again.
  void SetLimit(std::optional<double> per_second, base::steady_instant now);

  bool IsLimited() const { return per_second_.has_value(); }

  // Returns whether a request may be sent now.
  bool HasTurn(base::steady_instant now) const {
    return !IsLimited() || TurnsAt(now) >= 1;
  }

  // Records that a request is sent.
  void Take(base::steady_instant now);

  // Returns how long a request waits that has `ahead` others before it; zero
  // without a limit.
  base::duration WaitBehind(std::int64_t ahead, base::steady_instant now) const;

 private:
  // Returns the unused turns; below zero if requests were sent too early.
  double TurnsAt(base::steady_instant now) const;

  std::optional<double> per_second_;
  double turns_ = 0;  // At `counted_at_`.
  base::steady_instant counted_at_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_REQUEST_RATE_H_
