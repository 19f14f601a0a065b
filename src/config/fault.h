// Validation errors of a preset. All errors are collected, each with its
// location, so that an operator sees them all at once.
#ifndef FIREFLYSPAR_CONFIG_FAULT_H_
#define FIREFLYSPAR_CONFIG_FAULT_H_

#include <string>
#include <vector>

namespace fireflyspar::config {

struct validation_error {
  std::string pointer;   // JSON pointer (RFC 6901), as in "/routes/2/service".
  std::string value;     // Offending value as written, cut to be readable.
  std::string expected;  // Description of a valid value.

  bool operator==(const validation_error&) const = default;
};

using validation_errors = std::vector<validation_error>;

}  // namespace fireflyspar::config

#endif  // FIREFLYSPAR_CONFIG_FAULT_H_
