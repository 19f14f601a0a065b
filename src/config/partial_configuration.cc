#include "config/partial_configuration.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace fireflyspar::config {
namespace {

std::optional<mesh_route> PreviousReading(const unreadable_route& route,
                                          const mesh_configuration& next,
                                          const mesh_configuration* previous) {
  if (previous == nullptr || route.name.empty()) return std::nullopt;
  const auto found =
      std::ranges::find(previous->routes, route.name, &mesh_route::name);
  if (found == previous->routes.end()) return std::nullopt;
  if (!ValidateRoute(*found, next.services)) return std::nullopt;
  return *found;
}

// Returns a route that refuses all its requests.
std::optional<mesh_route> ClosedRoute(const unreadable_route& route) {
  if (route.host.empty() || route.path_prefix.empty()) return std::nullopt;
  return mesh_route{
      .name = route.name, .host = route.host, .path_prefix = route.path_prefix};
}

}  // namespace

void SeparateInvalidRoutes(partial_configuration& partial) {
  mesh_configuration& read = partial.configuration;
  std::erase_if(read.routes, [&](const mesh_route& each) {
    const base::status valid = ValidateRoute(each, read.services);
    if (valid) return false;
    partial.errors.push_back(valid.Failure().detail);
    partial.unreadable_routes.push_back({.name = each.name,
                                         .host = each.host,
                                         .path_prefix = each.path_prefix});
    return true;
  });
}

mesh_configuration CompleteConfiguration(partial_configuration partial,
                                         const mesh_configuration* previous) {
  mesh_configuration next = std::move(partial.configuration);
  for (const unreadable_route& each : partial.unreadable_routes) {
    std::optional<mesh_route> route = PreviousReading(each, next, previous);
    if (!route) route = ClosedRoute(each);
    if (route) next.routes.push_back(*std::move(route));
  }
  return next;
}

}  // namespace fireflyspar::config
