// The context in which an operator's command runs: the platform's object API,
// the operator's name and, as hooks that tests replace, the clock, random
// numbers and sleep.
#ifndef FIREFLYSPAR_OPERATORS_CONTEXT_H_
#define FIREFLYSPAR_OPERATORS_CONTEXT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "base/hooks.h"
#include "platform/object_api.h"

namespace fireflyspar::operators {

using sleep_hook = std::function<void(std::chrono::milliseconds)>;

// Limits on the audit trail's size at the platform. 128 segments of 128 KB hold
// about 30,000 entries of 550 bytes; at 6,700 changes a day that is four and a
// half days.
struct audit_limits {
  std::size_t segment_bytes = 128'000;  // Size from which a segment is full.
  std::uint64_t segments = 128;         // Number of segments kept.
};

struct context {
  platform::object_api platform;
  std::string who;  // The operator's name in the audit trail.
  base::clock_hook clock;
  base::random_hook random;
  sleep_hook sleep;
  audit_limits audit;
};

// Returns 128 random bits as 32 hexadecimal digits; with that many bits, equal
// ids do not occur in practice.
std::string NewOperationId(const base::random_hook& random);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_CONTEXT_H_
