// Validation of what the routes of a preset match: the match of each route, and
// the order of routes, since the first match is used. It is an error if a route
// can never be used because an earlier route takes all its calls, or if an
// outside route to the same service exposes an inside-only path.
#ifndef FIREFLYSPAR_CONFIG_ROUTE_CHECKS_H_
#define FIREFLYSPAR_CONFIG_ROUTE_CHECKS_H_

#include <span>
#include <string>

#include "config/fault.h"
#include "config/preset.h"

namespace fireflyspar::config {

// Checks the path, methods and headers of the route at the given JSON pointer.
void CheckMatch(const route& value, const std::string& at,
                validation_errors& out);

// Checks each route against the others.
void CheckOrder(std::span<const route> routes, validation_errors& out);

}  // namespace fireflyspar::config

#endif  // FIREFLYSPAR_CONFIG_ROUTE_CHECKS_H_
