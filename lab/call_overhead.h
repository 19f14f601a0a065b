// The experiment `call-overhead`: measures the latency and processor time that
// fireflyspar adds to a call. The same open-loop load goes directly to a
// stand-in server, through fireflyspar with one hop and with two hops, and
// through a minimal reverse proxy built on cpprestsdk, the baseline. The
// variants alternate within one run, so that all see the same conditions.
#ifndef FIREFLYSPAR_LAB_CALL_OVERHEAD_H_
#define FIREFLYSPAR_LAB_CALL_OVERHEAD_H_

#include <span>
#include <string>

namespace fireflyspar::lab {

// Implements the subcommand `experiment call-overhead`.
int RunCallOverhead(std::span<const std::string> arguments);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_CALL_OVERHEAD_H_
