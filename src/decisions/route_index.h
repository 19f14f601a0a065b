// Finds the route of a request in a configuration: by host, then by the longest
// path prefix. A look-up costs one hash and one look into a short list, however
// many hosts there are. Also shares a route's requests out among its targets,
// so that each gets its weight's part over any short run of requests.
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
  explicit route_index(config::mesh_configuration_ptr of);

  // Null when no route matches. `target` is the path with or without a query.
  const config::mesh_route* Find(std::string_view host,
                                 std::string_view target) const;

  const config::mesh_configuration& Configuration() const { return *of_; }

 private:
  config::mesh_configuration_ptr of_;
  // Longest prefix first.
  std::unordered_map<std::string, std::vector<const config::mesh_route*>>
      by_host_;
};

// Smooth weighted round robin: the part that is furthest behind its weight is
// next. What a route has shared out so far outlives a configuration that leaves
// the route's targets as they are.
class target_sharing {
 public:
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
