// Limits on calls at one node: so many a second to a service, and so many at a
// time from one caller.
#ifndef FIREFLYSPAR_DECISIONS_RATE_LIMIT_H_
#define FIREFLYSPAR_DECISIONS_RATE_LIMIT_H_

#include <map>
#include <string>
#include <string_view>

#include "base/hooks.h"
#include "base/token_bucket.h"

namespace fireflyspar::decisions {

// A token bucket that holds one second's worth.
class rate_limit {
 public:
  // Takes one call if the rate allows it; a rate of 0 allows every call.
  bool TryTake(int calls_per_second, base::instant now);

 private:
  base::token_bucket bucket_;
};

// Calls in flight by caller. A caller takes space only while it has a call.
class caller_limit {
 public:
  // Lets one more call of the caller in if it has fewer than `most` in flight;
  // 0 lets every call in. Each call let in is to be followed by Leave.
  bool Enter(std::string_view caller, int most);
  void Leave(std::string_view caller);

 private:
  std::map<std::string, int, std::less<>> in_flight_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_RATE_LIMIT_H_
