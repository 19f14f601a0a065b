// Generates the ids that callers give to requests that must run at most once.
#ifndef FIREFLYSPAR_LAB_IDEMPOTENCY_KEY_H_
#define FIREFLYSPAR_LAB_IDEMPOTENCY_KEY_H_

#include <string>

#include "base/hooks.h"

namespace fireflyspar::lab {

// Returns a UUIDv7 (RFC 9562) whose timestamp is `creation_time`.
std::string MakeIdempotencyKey(base::instant creation_time,
                               const base::random_hook& random);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_IDEMPOTENCY_KEY_H_
