// The demonstration. It starts the Kyushu deployment on loopback as separate
// processes, puts a preset in force, completes a move to a good version, checks
// that a move to a bad version is rolled back, and kills a third of the nodes
// under load. At the end it prints the measurements as a table.
#ifndef FIREFLYSPAR_LAB_DEMO_H_
#define FIREFLYSPAR_LAB_DEMO_H_

#include <span>
#include <string>

namespace fireflyspar::lab {

// Implements the subcommand `demo`. Returns 0 only if the preset came in force,
// the good move was done and the bad one was rolled back.
int RunDemo(std::span<const std::string> arguments);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_DEMO_H_
