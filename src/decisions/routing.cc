#include "decisions/routing.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <iterator>
#include <utility>

namespace fireflyspar::decisions {
namespace {

constexpr double kPercent = 100.0;

// Compares whole segments: "/a" is a prefix of "/a" and "/a/b", but not of
// "/ab".
bool HasPathPrefix(std::string_view path, std::string_view prefix) {
  if (prefix.ends_with('/')) prefix.remove_suffix(1);
  if (!path.starts_with(prefix)) return false;
  return path.size() == prefix.size() || path[prefix.size()] == '/';
}

bool HasMethod(const config::route& route, std::string_view method) {
  return route.methods.empty() ||
         std::ranges::find(route.methods, method) != route.methods.end();
}

bool Matches(const config::route& route, const request_head& head) {
  if (!HasMethod(route, head.method)) return false;
  if (!HasPathPrefix(head.path, route.path_prefix)) return false;
  return std::ranges::all_of(
      route.headers, [&](const config::header_match& wanted) {
        return head.header && head.header(wanted.name) == wanted.value;
      });
}

struct weighted_version {
  std::string_view version;
  double weight = 0;
};

// Returns the weight of the version, which is added with weight 0 if missing.
double& WeightOf(std::vector<weighted_version>& weights,
                 std::string_view version) {
  auto found = std::ranges::find(weights, version, &weighted_version::version);
  if (found == weights.end()) {
    weights.push_back({.version = version});
    found = std::prev(weights.end());
  }
  return found->weight;
}

// Shifts `share` of the old version's weight to the new version.
void Shift(std::vector<weighted_version>& weights, const move& shift,
           double share) {
  const double moved = WeightOf(weights, shift.old_version) * share;
  if (moved <= 0) return;
  WeightOf(weights, shift.old_version) -= moved;
  WeightOf(weights, shift.new_version) += moved;
}

}  // namespace

const config::route* MatchRoute(const config::preset& preset,
                                const request_head& head,
                                config::visibility listener) {
  const auto found =
      std::ranges::find_if(preset.routes, [&](const config::route& route) {
        const bool may_see = listener == config::visibility::kInside ||
                             route.visible_from == config::visibility::kOutside;
        return may_see && Matches(route, head);
      });
  return found == preset.routes.end() ? nullptr : &*found;
}

bool IsPlainPath(std::string_view path) {
  if (!path.starts_with('/')) return false;
  std::string lower(path);
  std::ranges::transform(lower, lower.begin(), [](unsigned char letter) {
    return static_cast<char>(std::tolower(letter));
  });
  constexpr std::array<std::string_view, 6> kParts = {"\\",  "%2e", "%2f",
                                                      "%5c", "/./", "/../"};
  if (lower.ends_with("/.") || lower.ends_with("/..")) return false;
  return std::ranges::none_of(kParts, [&](std::string_view part) {
    return lower.find(part) != std::string::npos;
  });
}

const config::service* FindService(const config::preset& preset,
                                   std::string_view name) {
  const auto found =
      std::ranges::find(preset.services, name, &config::service::name);
  return found == preset.services.end() ? nullptr : &*found;
}

std::string ChooseVersion(const config::service& service,
                          std::span<const move> moves,
                          const moved_share_hook& moved_share, double unit) {
  std::vector<weighted_version> weights;
  std::ranges::transform(service.versions, std::back_inserter(weights),
                         [](const config::version_share& share) {
                           return weighted_version{
                               .version = share.version,
                               .weight = share.percent / kPercent};
                         });
  for (const move& each : moves) {
    if (each.service != service.name) continue;
    Shift(weights, each, std::clamp(moved_share(each), 0.0, 1.0));
  }
  std::string_view chosen;
  for (const weighted_version& each : weights) {
    if (each.weight <= 0) continue;
    chosen = each.version;
    if (unit < each.weight) break;
    unit -= each.weight;
  }
  return std::string(chosen);
}

}  // namespace fireflyspar::decisions
