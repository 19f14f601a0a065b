// Makes the ids that callers give to requests that may not be repeated.
#ifndef FIREFLYSPAR_LAB_IDEMPOTENCY_KEY_H_
#define FIREFLYSPAR_LAB_IDEMPOTENCY_KEY_H_

#include <string>

#include "base/hooks.h"

namespace fireflyspar::lab {

// A UUIDv7 (RFC 9562) born at `birth`.
std::string MakeIdempotencyKey(base::instant birth,
                               const base::random_hook& random);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_IDEMPOTENCY_KEY_H_
