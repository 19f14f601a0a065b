#include "decisions/data_centre_reach.h"

namespace fireflyspar::decisions {

void data_centre_reach::OnUnreachable(std::string_view data_centre,
                                      std::string_view gate,
                                      base::steady_instant now) {
  failure_record& known = failures_[std::string(data_centre)];
  if (now - known.latest > options_.failure_window) known.gates.clear();
  known.gates.emplace(gate);
  known.latest = now;
  if (known.gates.size() < options_.min_failed_gates) return;
  known.avoid_until = now + options_.avoidance;
}

void data_centre_reach::OnReachable(std::string_view data_centre) {
  const auto known = failures_.find(data_centre);
  if (known != failures_.end()) failures_.erase(known);
}

bool data_centre_reach::IsCutOff(std::string_view data_centre,
                                 base::steady_instant now) const {
  const auto known = failures_.find(data_centre);
  return known != failures_.end() && now < known->second.avoid_until;
}

}  // namespace fireflyspar::decisions
