// What it costs a router to find the servers that can take a call, in a fleet
// of many members: by the index (decisions/server_index.h), against reading
// through all members as an earlier version did.
#ifndef FIREFLYSPAR_LAB_ROUTING_COST_H_
#define FIREFLYSPAR_LAB_ROUTING_COST_H_

#include <span>
#include <string>

namespace fireflyspar::lab {

// `experiment routing-cost`: one JSON object, in nanoseconds a call.
int RunRoutingCost(std::span<const std::string> arguments);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_ROUTING_COST_H_
