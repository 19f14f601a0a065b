// Validation errors of a preset. All errors are collected, each with its
// location, so that an operator sees them all at once.
#ifndef FIREFLYSPAR_CONFIG_FAULT_H_
#define FIREFLYSPAR_CONFIG_FAULT_H_

#include <string>
#include <vector>

namespace fireflyspar::config {

struct fault {
  std::string pointer;   // JSON pointer (RFC 6901), as in "/routes/2/service".
  std::string value;     // Offending value as written, cut to be readable.
  std::string expected;  // Description of a valid value.

  bool operator==(const fault&) const = default;
};

using faults = std::vector<fault>;

}  // namespace fireflyspar::config

#endif  // FIREFLYSPAR_CONFIG_FAULT_H_
