// What is wrong with a preset, one entry for each fault, so that an operator
// sees every fault at once and where it is.
#ifndef FIREFLYSPAR_CONFIG_FAULT_H_
#define FIREFLYSPAR_CONFIG_FAULT_H_

#include <string>
#include <vector>

namespace fireflyspar::config {

struct fault {
  std::string pointer;   // JSON pointer (RFC 6901), as in "/routes/2/service".
  std::string value;     // The offending value as written, cut to be readable.
  std::string expected;  // What would have been right.

  bool operator==(const fault&) const = default;
};

using faults = std::vector<fault>;

}  // namespace fireflyspar::config

#endif  // FIREFLYSPAR_CONFIG_FAULT_H_
