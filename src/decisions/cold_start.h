// Decides when the rate of requests to a cold backend server is limited. A
// server that has just started, or has lost its caches while it ran, ends when
// it gets many more requests than it can take while it is cold. All instances'
// requests pass its gate, which therefore keeps the limit.
//
// What the server reports may be out of date: it was sent before the server
// ended, or before its data centre was evacuated. From such a moment on it is
// uncertain whether the server is cold, and the limit holds until an answer to
// a question asked since then, or a report of a new start, tells.
#ifndef FIREFLYSPAR_DECISIONS_COLD_START_H_
#define FIREFLYSPAR_DECISIONS_COLD_START_H_

#include <optional>

#include "base/hooks.h"

namespace fireflyspar::decisions {

class cold_start {
 public:
  // Must be called when another start of a server, or another server, is behind
  // the gate, with the end of its cold time as it reported.
  void Restart(base::steady_instant cold_until) {
    cold_until_ = cold_until;
    is_uncertain_ = false;
  }

  // Records a later report of the same start.
  void OnReport(base::steady_instant cold_until) { cold_until_ = cold_until; }

  // Records that the server may have become cold since its last report.
  void OnUncertain() { is_uncertain_ = true; }

  // Records the server's answer to a question that was asked while it was
  // uncertain.
  void OnAnswer(base::steady_instant cold_until) { Restart(cold_until); }

  bool IsUncertain() const { return is_uncertain_; }

  // Returns whether the server is to be treated as cold.
  bool IsCold(base::steady_instant now) const {
    return is_uncertain_ || now < cold_until_;
  }

  // Returns the limit in force, in requests a second; nothing if there is none.
  // `cold_limit` is the limit for a cold server, `other_limit` one that holds
  // at any time.
  std::optional<double> Limit(std::optional<double> cold_limit,
                              std::optional<double> other_limit,
                              base::steady_instant now) const;

 private:
  base::steady_instant cold_until_;
  bool is_uncertain_ = false;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_COLD_START_H_
