// How long requests of each route typically take at a server: a smoothed mean,
// and a guess from the route's objective before the first answer.
#ifndef FIREFLYSPAR_DECISIONS_TYPICAL_DURATIONS_H_
#define FIREFLYSPAR_DECISIONS_TYPICAL_DURATIONS_H_

#include <functional>
#include <map>
#include <string>

#include "base/hooks.h"
#include "config/mesh_configuration.h"

namespace fireflyspar::decisions {

class typical_durations {
 public:
  base::duration Of(const config::mesh_route& route) const;

  // Records that a request of the route took this long.
  void Record(const config::mesh_route& route, base::duration took);

 private:
  std::map<std::string, base::duration, std::less<>> by_route_;  // By name.
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_TYPICAL_DURATIONS_H_
