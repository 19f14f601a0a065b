// Validation of a preset's content. The command line, the code that accepts
// presets and every node all use the same function. It is a pure function of
// the preset, so that nodes cannot disagree on whether an accepted preset is
// valid.
#ifndef FIREFLYSPAR_CONFIG_VALIDATE_H_
#define FIREFLYSPAR_CONFIG_VALIDATE_H_

#include "config/fault.h"
#include "config/preset.h"

namespace fireflyspar::config {

// Returns all errors of `value`; empty if it may be put in force.
validation_errors Validate(const preset& value);

}  // namespace fireflyspar::config

#endif  // FIREFLYSPAR_CONFIG_VALIDATE_H_
