// The experiments of `fireflyspar-lab experiment NAME`. Each prints one JSON
// object on standard output. Experiments that do not measure real time print
// the same object for the same arguments. A new experiment is added to the list
// in lab/experiments.cc.
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
