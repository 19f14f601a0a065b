// The experiment `call-overhead`: the same open-loop load straight to a
// stand-in server and through fireflyspar by one hop and two, in turns, in one
// run; and through a small relay by cpprestsdk, the baseline.
#ifndef FIREFLYSPAR_LAB_CALL_OVERHEAD_H_
#define FIREFLYSPAR_LAB_CALL_OVERHEAD_H_

#include <span>
#include <string>

namespace fireflyspar::lab {

int RunCallOverhead(std::span<const std::string> arguments);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_CALL_OVERHEAD_H_
