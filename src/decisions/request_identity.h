// Identifies requests that are the same though their ids differ: a caller that
// sends a request again gives it a new id.
#ifndef FIREFLYSPAR_DECISIONS_REQUEST_IDENTITY_H_
#define FIREFLYSPAR_DECISIONS_REQUEST_IDENTITY_H_

#include <compare>
#include <cstdint>
#include <string>

namespace fireflyspar::decisions {

struct request_identity {
  // A fast hash of all but the body. Most requests differ in it, so that the
  // digest, which costs more, is rarely needed.
  std::uint64_t head_hash = 0;
  // A collision-resistant digest of the whole request, so that no caller can
  // make a request that passes for another's.
  std::string digest;

  auto operator<=>(const request_identity&) const = default;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_REQUEST_IDENTITY_H_
