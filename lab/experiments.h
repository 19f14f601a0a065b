// The experiments of `fireflyspar-lab experiment NAME`. Each prints one JSON
// object on standard output, the same one for the same arguments where it does
// not measure real time. Each experiment adds its line in lab/experiments.cc.
#ifndef FIREFLYSPAR_LAB_EXPERIMENTS_H_
#define FIREFLYSPAR_LAB_EXPERIMENTS_H_

#include <span>
#include <string>
#include <vector>

#include "base/command.h"

namespace fireflyspar::lab {

std::vector<base::command> Experiments();

// Runs the experiment that the first argument names.
int RunExperiment(std::span<const std::string> arguments);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_EXPERIMENTS_H_
