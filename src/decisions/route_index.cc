#include "decisions/route_index.h"

#include <algorithm>
#include <numeric>

namespace fireflyspar::decisions {

route_index::route_index(config::mesh_configuration_ptr configuration)
    : configuration_(std::move(configuration)) {
  for (const config::mesh_route& each : configuration_->routes) {
    by_host_[each.host].push_back(&each);
  }
  for (auto& [host, routes] : by_host_) {
    std::ranges::stable_sort(routes, std::ranges::greater{},
                             [](const config::mesh_route* each) {
                               return each->path_prefix.size();
                             });
  }
}

const config::mesh_route* route_index::Find(std::string_view host,
                                            std::string_view target) const {
  const auto found = by_host_.find(std::string(host));
  if (found == by_host_.end()) return nullptr;
  const std::string_view path = target.substr(0, target.find('?'));
  const auto match = std::ranges::find_if(
      found->second, [path](const config::mesh_route* each) {
        return path.starts_with(each->path_prefix);
      });
  return match == found->second.end() ? nullptr : *match;
}

const std::string& weighted_target_selector::Next(
    const config::mesh_route& route) {
  if (route.targets.size() == 1) return route.targets.front().service;
  state& shared = by_route_[route.name];
  if (shared.targets != route.targets) {
    shared.targets = route.targets;
    shared.credit.assign(route.targets.size(), 0);
  }
  const std::int64_t total = std::accumulate(
      route.targets.begin(), route.targets.end(), std::int64_t{0},
      [](std::int64_t sum, const config::weighted_service& each) {
        return sum + each.weight;
      });
  for (std::size_t i = 0; i < route.targets.size(); ++i) {
    shared.credit[i] += route.targets[i].weight;
  }
  const auto furthest_behind = std::ranges::max_element(shared.credit);
  *furthest_behind -= total;
  return route.targets[furthest_behind - shared.credit.begin()].service;
}

}  // namespace fireflyspar::decisions
