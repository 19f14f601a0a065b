// Whether another data centre can be reached at all. When a data centre is cut
// off, each of its gates would cost a request the time of a failed connect
// before it is passed over. Several different gates that fail one after the
// other, with no answer from any gate of that data centre in between, tell the
// same at once of all of them.
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
  // So many different gates have to fail.
  std::size_t suspects = 2;
  // A failure counts for so long.
  base::duration memory = std::chrono::seconds(2);
  // After the latest failure; then requests may try again.
  base::duration avoidance = std::chrono::seconds(1);
};

class data_centre_reach {
 public:
  explicit data_centre_reach(data_centre_reach_options options = {})
      : options_(options) {}

  void OnUnreachable(std::string_view data_centre, std::string_view gate,
                     base::steady_instant now);
  void OnReachable(std::string_view data_centre);

  bool IsCutOff(std::string_view data_centre, base::steady_instant now) const;

 private:
  struct suspicion {
    std::set<std::string, std::less<>> gates;  // Failed since any answered.
    base::steady_instant latest;
    base::steady_instant avoid_until;
  };

  data_centre_reach_options options_;
  std::map<std::string, suspicion, std::less<>> suspicions_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_DATA_CENTRE_REACH_H_
