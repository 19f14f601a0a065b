// The experiments `convergence` (how long after its offer at one node a
// configuration is in force at the last) and `control-cost` (bytes, messages
// and processor time that the mesh spends, idle, under churn and per change).
#ifndef FIREFLYSPAR_LAB_MESH_EXPERIMENTS_H_
#define FIREFLYSPAR_LAB_MESH_EXPERIMENTS_H_

#include <span>
#include <string>

namespace fireflyspar::lab {

int RunConvergenceExperiment(std::span<const std::string> arguments);

int RunControlCostExperiment(std::span<const std::string> arguments);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_MESH_EXPERIMENTS_H_
