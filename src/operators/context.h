// What every operator command works with: the platform, who is asking, and the
// outside world's variation as hooks, so that tests decide all of it.
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

// The audit trail's size at the platform. Worked out at 6,700 changes a day:
// 128 segments of 128 KB hold about 30,000 entries of 550 bytes, or four and a
// half days.
struct audit_limits {
  std::size_t segment_bytes = 128'000;
  std::uint64_t segments = 128;
};

struct context {
  platform::object_api platform;
  std::string who;  // The operator, as the audit trail names them.
  base::clock_hook clock;
  base::random_hook random;
  sleep_hook sleep;
  audit_limits audit;
};

// 128 random bits as 32 hexadecimal digits, so that no two are ever equal.
std::string NewOperationId(const base::random_hook& random);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_CONTEXT_H_
