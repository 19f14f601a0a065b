// The id that a caller gives to a request which may not be repeated: a UUIDv7
// (RFC 9562), which contains its time of creation. The time of creation bounds
// how long the id has to be remembered.
#ifndef FIREFLYSPAR_DECISIONS_REQUEST_ID_H_
#define FIREFLYSPAR_DECISIONS_REQUEST_ID_H_

#include <string>
#include <string_view>

#include "base/hooks.h"
#include "base/result.h"

namespace fireflyspar::decisions {

struct request_id {
  std::string text;  // Canonical form in lower case.
  base::instant creation_time;

  bool operator==(const request_id&) const = default;
};

// Parses the canonical form, as in "0192f0a4-7c1e-7abc-8def-0123456789ab".
// Fails with kBadRequest on anything else.
base::result<request_id> ParseRequestId(std::string_view text);

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_REQUEST_ID_H_
