#include "config/mesh_configuration.h"

#include <algorithm>
#include <set>
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
                          const std::set<std::string_view>& services) {
  if (route.targets.empty()) {
    return InvalidConfiguration("route " + route.name + " names no service");
  }
  int total = 0;
  for (const weighted_service& each : route.targets) {
    if (!services.contains(each.service)) {
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

base::status CheckRoute(const mesh_route& route,
                        const std::set<std::string_view>& services) {
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

}  // namespace

base::status ValidateMeshConfiguration(const mesh_configuration& candidate) {
  if (candidate.version == 0) return InvalidConfiguration("the version is 0");
  std::set<std::string_view> services;
  for (const mesh_service& each : candidate.services) {
    services.insert(each.name);
  }
  for (const mesh_route& each : candidate.routes) {
    if (auto checked = CheckRoute(each, services); !checked) return checked;
  }
  return base::success{};
}

}  // namespace fireflyspar::config
