// The demonstration: today's Kyushu deployment on loopback as separate
// processes, a preset put in force, a good move that gets done, a bad one that
// gets taken back, a third of the nodes killed, and the four measures as a
// table.
#ifndef FIREFLYSPAR_LAB_DEMO_H_
#define FIREFLYSPAR_LAB_DEMO_H_

#include <span>
#include <string>

namespace fireflyspar::lab {

// The subcommand `demo`. Exits with 0 only when every step came out as told.
int RunDemo(std::span<const std::string> arguments);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_DEMO_H_
