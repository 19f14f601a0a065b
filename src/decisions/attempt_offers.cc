#include "decisions/attempt_offers.h"

#include <algorithm>

namespace fireflyspar::decisions {
namespace {

// A request is refused after this many offers to gates that were full.
constexpr int kMaxFullGates = 5;

}  // namespace

void attempt_offers::OnFull(std::string_view gate, base::duration wait) {
  ++refusals_;
  if (MayWait()) refused_by_.emplace(gate);
  least_wait_ = full_gates_ == 0 ? wait : std::min(least_wait_, wait);
  ++full_gates_;
}

void attempt_offers::OnRefused(std::string_view gate) {
  ++refusals_;
  refused_by_.emplace(gate);
}

bool attempt_offers::IsExhausted() const {
  return full_gates_ >= kMaxFullGates;
}

}  // namespace fireflyspar::decisions
