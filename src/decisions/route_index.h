// Finds the route of a request in a configuration: by host, then by the longest
// path prefix. A look-up takes one hash and a search of the host's short list
// of routes, however many hosts there are. Also distributes the requests of a
// route over its targets by weight, so that each target gets its share even
// over a short series of requests.
#ifndef FIREFLYSPAR_DECISIONS_ROUTE_INDEX_H_
#define FIREFLYSPAR_DECISIONS_ROUTE_INDEX_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/mesh_configuration.h"

namespace fireflyspar::decisions {

class route_index {
 public:
  explicit route_index(config::mesh_configuration_ptr configuration);

  // Returns the route of a request, or null if none matches. `target` is the
  // path with or without a query.
  const config::mesh_route* Find(std::string_view host,
                                 std::string_view target) const;

  const config::mesh_configuration& Configuration() const {
    return *configuration_;
  }

 private:
  config::mesh_configuration_ptr configuration_;
  // The routes of each host, those with the longest prefix first.
  std::unordered_map<std::string, std::vector<const config::mesh_route*>>
      by_host_;
};

// Selects a target of a route by smooth weighted round robin: the target that
// is furthest behind its weight is next. The state of a route is kept when a
// new configuration leaves the route's targets as they are.
class weighted_target_selector {
 public:
  // Returns the service that gets the route's next request.
  const std::string& Next(const config::mesh_route& route);

 private:
  struct state {
    std::vector<config::weighted_service> targets;
    std::vector<std::int64_t> credit;
  };
  std::map<std::string, state, std::less<>> by_route_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_ROUTE_INDEX_H_
