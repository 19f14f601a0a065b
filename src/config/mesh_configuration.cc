#include "config/mesh_configuration.h"

#include <algorithm>
#include <string_view>

namespace fireflyspar::config {
namespace {

base::failure InvalidConfiguration(std::string detail) {
  return base::Fail(base::error_kind::kBadPreset, std::move(detail));
}

bool IsPrefix(std::string_view text) {
  return !text.empty() && text.front() == '/' && text.back() == '/';
}

base::status CheckTargets(const mesh_route& route,
                          std::span<const mesh_service> services) {
  if (route.targets.empty()) {
    return InvalidConfiguration("route " + route.name + " names no service");
  }
  std::int64_t total = 0;
  for (const weighted_service& each : route.targets) {
    const bool is_known =
        std::ranges::find(services, each.service, &mesh_service::name) !=
        services.end();
    if (!is_known) {
      return InvalidConfiguration("route " + route.name +
                                  " names the unknown service " + each.service);
    }
    if (each.weight < 0) {
      return InvalidConfiguration("route " + route.name + " has the weight " +
                                  std::to_string(each.weight));
    }
    total += each.weight;
  }
  if (total == 0) {
    return InvalidConfiguration("route " + route.name +
                                " has no weight at all");
  }
  return base::success{};
}

}  // namespace

base::status ValidateRoute(const mesh_route& route,
                           std::span<const mesh_service> services) {
  if (route.host.empty()) {
    return InvalidConfiguration("route " + route.name + " has no host");
  }
  if (!IsPrefix(route.path_prefix)) {
    return InvalidConfiguration("route " + route.name +
                                " has the path prefix " + route.path_prefix);
  }
  if (route.max_attempts < 1) {
    return InvalidConfiguration("route " + route.name + " allows " +
                                std::to_string(route.max_attempts) +
                                " attempts");
  }
  if (route.timeout.count() <= 0) {
    return InvalidConfiguration("route " + route.name + " has the timeout " +
                                std::to_string(route.timeout.count()) + " ms");
  }
  return CheckTargets(route, services);
}

}  // namespace fireflyspar::config
