// A preset: a complete configuration, as typed values, that operators can put
// in force. It defines the services, the routes of calls to them, the split of
// each service's calls between its versions, and all limits. Presets are
// written as JSON (config/preset_text.h) and validated by one pure function
// (config/validate.h), which returns the same result everywhere.
#ifndef FIREFLYSPAR_CONFIG_PRESET_H_
#define FIREFLYSPAR_CONFIG_PRESET_H_

#include <chrono>
#include <string>
#include <vector>

namespace fireflyspar::config {

// The newest schema version that this program reads and writes.
inline constexpr int kSchemaVersion = 1;

// Maximum size of a preset's text; the platform's limit on the size of a value.
inline constexpr std::size_t kMaxPresetBytes = 1'000'000;

// Which callers can reach a route. On the outside listener, an inside-only
// route gets the same response as a path that does not exist.
enum class visibility { kInside, kOutside };

// The share of a service's calls that a version receives, as an integer
// percentage. The shares of a service add up to 100. Moves apply on top of
// these shares (decisions/move.h).
struct version_share {
  std::string version;
  int percent = 0;

  bool operator==(const version_share&) const = default;
};

struct retry_policy {
  // Maximum attempts of one node at one call, including the first.
  int max_attempts = 2;
  // Retries as a percentage of first attempts, over a window of seconds.
  int budget_percent = 10;

  bool operator==(const retry_policy&) const = default;
};

struct service {
  std::string name;
  std::vector<version_share> versions;
  int max_calls_per_second = 0;             // For each node; 0: no limit.
  int max_in_flight_per_caller = 0;         // On each node; 0: no limit.
  std::chrono::milliseconds timeout{2000};  // For calls without a deadline.
  retry_policy retries;

  bool operator==(const service&) const = default;
};

struct header_match {
  std::string name;  // Lower case.
  std::string value;

  bool operator==(const header_match&) const = default;
};

// A rule that sends matching calls to a service. Routes are tried in the order
// of the preset, and the first match is used.
struct route {
  std::string name;
  std::vector<std::string> methods;  // Empty: any method.
  std::string path_prefix;           // Whole segments: "/a" matches "/a/b".
  std::vector<header_match> headers;
  std::string service;
  visibility visible_from = visibility::kInside;
  // Whether calls must not be repeated, as for orders and refunds.
  bool at_most_once = false;
  std::chrono::milliseconds timeout{0};  // 0: the service's timeout.

  bool operator==(const route&) const = default;
};

// Limits on the pace of moves under this preset.
struct move_policy {
  // Maximum share of the new version, in percent, before there is evidence.
  double max_unproven_percent = 2;
  // Time at full share before a move is complete.
  std::chrono::seconds bake{30};

  bool operator==(const move_policy&) const = default;
};

struct preset {
  int schema_version = kSchemaVersion;
  std::string name;
  std::string description;
  // The data centres of the deployment. Each non-repeatable request has its
  // home in one of them. If a maintenance preset leaves out a data centre, its
  // requests get homes in the others.
  std::vector<std::string> data_centres;
  std::vector<service> services;
  std::vector<route> routes;
  move_policy moves;

  bool operator==(const preset&) const = default;
};

}  // namespace fireflyspar::config

#endif  // FIREFLYSPAR_CONFIG_PRESET_H_
