// The experiment `routing-cost`: measures the time that a router needs to find
// the servers for a call in a fleet with many members. It compares the index
// (decisions/server_index.h) with a scan of all members, as an earlier version
// did it.
#ifndef FIREFLYSPAR_LAB_ROUTING_COST_H_
#define FIREFLYSPAR_LAB_ROUTING_COST_H_

#include <span>
#include <string>

namespace fireflyspar::lab {

// Implements the subcommand `experiment routing-cost`; prints one JSON object
// with nanoseconds per call.
int RunRoutingCost(std::span<const std::string> arguments);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_ROUTING_COST_H_
