// A preset: the whole of what operators choose between, as typed values. It
// says which services there are, how calls are routed to them, how a service's
// calls are shared between its versions, and every limit. Presets are written
// as JSON (config/preset_text.h) and checked by one pure function
// (config/validate.h) that gives the same verdict everywhere.
#ifndef FIREFLYSPAR_CONFIG_PRESET_H_
#define FIREFLYSPAR_CONFIG_PRESET_H_

#include <chrono>
#include <string>
#include <vector>

namespace fireflyspar::config {

// The newest schema version that this program reads and writes.
inline constexpr int kSchemaVersion = 1;

// The platform's limit on a value, which a preset's text must fit in.
inline constexpr std::size_t kMaxPresetBytes = 1'000'000;

// Who may reach a route. A route that is inside-only answers callers on the
// outside listener exactly as a path that does not exist.
enum class visibility { kInside, kOutside };

// A share of a service's calls, in whole percent; a service's shares add up to
// 100. Moves shift shares on top of these (decisions/moves.h).
struct version_share {
  std::string version;
  int percent = 0;

  bool operator==(const version_share&) const = default;
};

struct retry_rule {
  int max_attempts = 2;  // Tries at one call by one node, the first included.
  int budget_percent = 10;  // Retries as a share of first tries, over seconds.

  bool operator==(const retry_rule&) const = default;
};

struct service {
  std::string name;
  std::vector<version_share> versions;
  int max_calls_per_second = 0;             // By each node; 0: no limit.
  int max_in_flight_per_caller = 0;         // At each node; 0: no limit.
  std::chrono::milliseconds timeout{2000};  // When a call brings no deadline.
  retry_rule retries;

  bool operator==(const service&) const = default;
};

struct header_match {
  std::string name;  // Lower case.
  std::string value;

  bool operator==(const header_match&) const = default;
};

// Routes are tried in the order of the preset; the first that matches is taken.
struct route {
  std::string name;
  std::vector<std::string> methods;  // Empty: any.
  std::string path_prefix;           // Whole segments: "/a" matches "/a/b".
  std::vector<header_match> headers;
  std::string service;
  visibility seen_from = visibility::kInside;
  bool at_most_once = false;  // A call may not be repeated: orders, refunds.
  std::chrono::milliseconds timeout{0};  // 0: the service's.

  bool operator==(const route&) const = default;
};

// How bold moves are under this preset.
struct move_policy {
  double max_unproven_percent =
      2;                          // Share before the new version has evidence.
  std::chrono::seconds bake{30};  // At full share before a move is done.

  bool operator==(const move_policy&) const = default;
};

struct preset {
  int schema_version = kSchemaVersion;
  std::string name;
  std::string description;
  // Data centres that the deployment has. Each request that may not be repeated
  // has its home in one of them; leaving one out of a maintenance preset gives
  // its requests another home.
  std::vector<std::string> data_centres;
  std::vector<service> services;
  std::vector<route> routes;
  move_policy moves;

  bool operator==(const preset&) const = default;
};

}  // namespace fireflyspar::config

#endif  // FIREFLYSPAR_CONFIG_PRESET_H_
