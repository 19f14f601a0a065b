// Two experiments on the mesh. `convergence` measures the time from the offer
// of a configuration at one node until it is in force at all nodes.
// `control-cost` measures the bytes, messages and processor time that the mesh
// uses: idle, under churn and per configuration change.
#ifndef FIREFLYSPAR_LAB_MESH_EXPERIMENTS_H_
#define FIREFLYSPAR_LAB_MESH_EXPERIMENTS_H_

#include <span>
#include <string>

namespace fireflyspar::lab {

int RunConvergenceExperiment(std::span<const std::string> arguments);

int RunControlCostExperiment(std::span<const std::string> arguments);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_MESH_EXPERIMENTS_H_
