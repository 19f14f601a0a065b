// A configuration of which some parts could not be read, and what then holds.
// The document may come from a newer program than this one, so an unreadable
// part costs only itself: the other routes take effect as written.
#ifndef FIREFLYSPAR_CONFIG_PARTIAL_CONFIGURATION_H_
#define FIREFLYSPAR_CONFIG_PARTIAL_CONFIGURATION_H_

#include <string>
#include <vector>

#include "config/mesh_configuration.h"

namespace fireflyspar::config {

// The fields of an unreadable route that could be read; the others are empty.
struct unreadable_route {
  std::string name;
  std::string host;
  std::string path_prefix;
};

struct partial_configuration {
  mesh_configuration configuration;  // The readable parts.
  std::vector<unreadable_route> unreadable_routes;
  // Why parts could not be read, each with its path and value.
  std::vector<std::string> errors;
};

// Moves the routes that ValidateRoute refuses to the unreadable ones.
void SeparateInvalidRoutes(partial_configuration& partial);

// Returns the whole configuration. For an unreadable route the route of the
// same name in `previous` (may be null) stays in force, if its services still
// exist. Otherwise the route has no targets, so that its requests are refused
// and not taken by a route with a shorter prefix. Without a host or a prefix it
// is left out, since its requests can't be told from others.
mesh_configuration CompleteConfiguration(partial_configuration partial,
                                         const mesh_configuration* previous);

}  // namespace fireflyspar::config

#endif  // FIREFLYSPAR_CONFIG_PARTIAL_CONFIGURATION_H_
