// The configuration that every proxy uses for routing: routes from a host and a
// path to services, limits on callers' requests, and the version that orders
// configurations. It is always written as a whole. A proxy adopts a
// configuration only if its version is higher than the one in force.
#ifndef FIREFLYSPAR_CONFIG_MESH_CONFIGURATION_H_
#define FIREFLYSPAR_CONFIG_MESH_CONFIGURATION_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/result.h"
#include "config/organisation.h"

namespace fireflyspar::config {

// A service that receives a part of a route's requests, in proportion to its
// weight.
struct weighted_service {
  std::string service;
  int weight = 1;

  bool operator==(const weighted_service&) const = default;
};

struct mesh_route {
  std::string name;
  std::string host;
  std::string path_prefix;                 // Starts and ends with '/'.
  bool is_idempotent = false;              // Requests may run more than once.
  std::chrono::milliseconds timeout{0};    // Maximum time to a response.
  std::chrono::milliseconds objective{0};  // Target latency for callers.
  int priority = 0;                        // 0 is the highest.
  int max_attempts = 1;  // Maximum backend servers reached by a request.
  // Whether its requests need no key, in a configuration with organisations.
  bool is_public = false;
  // Empty if nobody knows where the route's requests may run; they are refused
  // as not run.
  std::vector<weighted_service> targets;

  bool operator==(const mesh_route&) const = default;
};

struct mesh_service {
  std::string name;
  std::string health_path;
  int max_connections = 0;  // For each of its backend servers.
  // Requests a second that each of its backend servers takes from all instances
  // together while it is cold. Zero: no limit.
  double cold_requests_per_second = 0;

  bool operator==(const mesh_service&) const = default;
};

// Limits on the size of callers' requests and on the time to receive them.
struct request_limits {
  std::uint32_t header_bytes = 16'384;
  std::uint64_t body_bytes = 1'048'576;
  std::chrono::milliseconds header_timeout{3'000};
  std::chrono::milliseconds idle_timeout{15'000};

  bool operator==(const request_limits&) const = default;
};

struct mesh_configuration {
  std::uint64_t version = 0;
  std::vector<mesh_route> routes;
  std::vector<mesh_service> services;
  request_limits limits;
  // Nothing: requests carry no keys.
  std::optional<std::vector<organisation>> organisations;
};

using mesh_configuration_ptr = std::shared_ptr<const mesh_configuration>;

// Returns the first error of the route, with the offending value, or success if
// its requests can be routed to `services`.
base::status ValidateRoute(const mesh_route& route,
                           std::span<const mesh_service> services);

}  // namespace fireflyspar::config

#endif  // FIREFLYSPAR_CONFIG_MESH_CONFIGURATION_H_
