// The part of the check of a preset that concerns what routes match: each
// route's own match, and the order of routes, since the first that matches is
// taken. A route that can never be taken, and an inside-only path that an
// outside route to the same service lays open, are faults.
#ifndef FIREFLYSPAR_CONFIG_ROUTE_CHECKS_H_
#define FIREFLYSPAR_CONFIG_ROUTE_CHECKS_H_

#include <span>
#include <string>

#include "config/fault.h"
#include "config/preset.h"

namespace fireflyspar::config {

// Checks the path, methods and headers of the route that stands at `at`.
void CheckMatch(const route& value, const std::string& at, faults& out);

// Checks each route against the others.
void CheckOrder(std::span<const route> routes, faults& out);

}  // namespace fireflyspar::config

#endif  // FIREFLYSPAR_CONFIG_ROUTE_CHECKS_H_
