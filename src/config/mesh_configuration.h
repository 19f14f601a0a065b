// The configuration that every proxy routes by: routes from a host and a path
// to services, the limits on what callers may send, and the version that orders
// configurations. It is written whole; a proxy takes one over only when Check
// finds nothing wrong and its version is higher than the one in force.
#ifndef FIREFLYSPAR_CONFIG_MESH_CONFIGURATION_H_
#define FIREFLYSPAR_CONFIG_MESH_CONFIGURATION_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/result.h"

namespace fireflyspar::config {

// One of the services that a route's requests are shared out among, in
// proportion to the weights.
struct weighted_service {
  std::string service;
  int weight = 1;

  bool operator==(const weighted_service&) const = default;
};

struct mesh_route {
  std::string name;
  std::string host;
  std::string path_prefix;                 // Begins and ends with a slash.
  bool is_idempotent = false;              // May run more than once.
  std::chrono::milliseconds timeout{0};    // Longest time to an answer.
  std::chrono::milliseconds objective{0};  // Latency that callers hope for.
  int rank = 0;                            // 0 is the most urgent.
  int max_attempts = 1;  // Backend servers that one request may reach.
  std::vector<weighted_service> targets;  // Never empty.

  bool operator==(const mesh_route&) const = default;
};

struct mesh_service {
  std::string name;
  std::string health_path;
  int max_connections = 0;  // To each of its backend servers.

  bool operator==(const mesh_service&) const = default;
};

// What a caller may send, and how long it may take.
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
};

using mesh_configuration_ptr = std::shared_ptr<const mesh_configuration>;

// The first fault, with the offending value; nothing when it may be taken over.
base::status Check(const mesh_configuration& candidate);

}  // namespace fireflyspar::config

#endif  // FIREFLYSPAR_CONFIG_MESH_CONFIGURATION_H_
