// The one check of a preset's content. It is a pure function of the preset, so
// that an accepted preset can never be refused by one node and taken by
// another: the command line, the acceptance and every node run this.
#ifndef FIREFLYSPAR_CONFIG_VALIDATE_H_
#define FIREFLYSPAR_CONFIG_VALIDATE_H_

#include "config/fault.h"
#include "config/preset.h"

namespace fireflyspar::config {

// Every fault of `value`; empty when it may be put in force.
faults Validate(const preset& value);

}  // namespace fireflyspar::config

#endif  // FIREFLYSPAR_CONFIG_VALIDATE_H_
