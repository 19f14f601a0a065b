// Follows the offers of one attempt at a request, from gate to gate until one
// admits it: which gates must not be asked again, how long the next one may
// keep the request waiting, and when to give up.
//
// Only a short wait is accepted while another gate may have a free slot. Once a
// gate has been found full, or if no gate is expected to have one, a long wait
// is accepted: under a lasting overload offers that ask for a short wait would
// only use the time of the proxies. A gate that was full for a short wait may
// still be the best for a long one.
#ifndef FIREFLYSPAR_DECISIONS_ATTEMPT_OFFERS_H_
#define FIREFLYSPAR_DECISIONS_ATTEMPT_OFFERS_H_

#include <functional>
#include <set>
#include <string>
#include <string_view>

#include "base/hooks.h"

namespace fireflyspar::decisions {

class attempt_offers {
 public:
  // Records whether any gate is expected to have a free slot now.
  void OnChoice(bool is_any_expected_free) {
    is_any_expected_free_ = is_any_expected_free;
  }

  // Returns whether the next offer may wait for as long as the request has
  // time.
  bool MayWait() const { return full_gates_ > 0 || !is_any_expected_free_; }

  // Records that the gate was full and expects a slot to be free after `wait`.
  void OnFull(std::string_view gate, base::duration wait);

  // Records that the gate refused the request for another reason.
  void OnRefused(std::string_view gate);

  // Records that the gate did not admit the request, but may be asked again.
  void OnPassedOver() { ++refusals_; }

  // Returns whether the gate must not be asked again.
  bool IsRefusedBy(std::string_view gate) const {
    return refused_by_.contains(gate);
  }

  // Returns whether so many gates were full that the request is refused.
  bool IsExhausted() const;

  bool HasFoundFullGate() const { return full_gates_ > 0; }
  int Refusals() const { return refusals_; }

  // The shortest wait that a full gate expects; zero if none was full.
  base::duration LeastWait() const { return least_wait_; }

 private:
  std::set<std::string, std::less<>> refused_by_;
  bool is_any_expected_free_ = true;
  int refusals_ = 0;
  int full_gates_ = 0;
  base::duration least_wait_{};
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_ATTEMPT_OFFERS_H_
