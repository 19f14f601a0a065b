// Detects that another data centre cannot be reached at all. Without this, each
// gate of an unreachable data centre would delay a request by a failed connect
// before the gate is skipped. A data centre counts as cut off when several
// different gates of it fail in a row, with no answer from any of its gates in
// between.
#ifndef FIREFLYSPAR_DECISIONS_DATA_CENTRE_REACH_H_
#define FIREFLYSPAR_DECISIONS_DATA_CENTRE_REACH_H_

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "base/hooks.h"

namespace fireflyspar::decisions {

struct data_centre_reach_options {
  // Number of different gates that have to fail.
  std::size_t min_failed_gates = 2;
  // Longest time between two failures that are counted together.
  base::duration failure_window = std::chrono::seconds(2);
  // How long the data centre is avoided after the latest failure, before
  // requests may try it again.
  base::duration avoidance = std::chrono::seconds(1);
};

class data_centre_reach {
 public:
  explicit data_centre_reach(data_centre_reach_options options = {})
      : options_(options) {}

  // Records that a gate could not be reached.
  void OnUnreachable(std::string_view data_centre, std::string_view gate,
                     base::steady_instant now);

  // Records an answer from any gate of the data centre; earlier failures no
  // longer count.
  void OnReachable(std::string_view data_centre);

  // Returns whether the data centre is to be avoided now.
  bool IsCutOff(std::string_view data_centre, base::steady_instant now) const;

 private:
  struct failure_record {
    // Gates that failed since the last answer.
    std::set<std::string, std::less<>> gates;
    base::steady_instant latest;
    base::steady_instant avoid_until;
  };

  data_centre_reach_options options_;
  std::map<std::string, failure_record, std::less<>> failures_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_DATA_CENTRE_REACH_H_
