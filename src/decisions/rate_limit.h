// Limits on calls at one node: the rate of calls to a service, and the number
// of calls in flight from one caller.
#ifndef FIREFLYSPAR_DECISIONS_RATE_LIMIT_H_
#define FIREFLYSPAR_DECISIONS_RATE_LIMIT_H_

#include <map>
#include <string>
#include <string_view>

#include "base/hooks.h"
#include "base/token_bucket.h"

namespace fireflyspar::decisions {

// Limits the rate of calls with a token bucket that holds the calls of one
// second.
class rate_limit {
 public:
  // Returns whether the rate allows one more call now, and counts the call if
  // it does. A rate of 0 allows every call.
  bool TryTake(int calls_per_second, base::instant now);

 private:
  base::token_bucket bucket_;
};

// Limits the calls in flight from each caller. Only callers with a call in
// flight use memory.
class caller_limit {
 public:
  // Admits one more call of the caller if fewer than `max_in_flight` of its
  // calls are in flight; 0 admits every call. Leave must be called at the end
  // of each admitted call.
  bool Enter(std::string_view caller, int max_in_flight);
  void Leave(std::string_view caller);

 private:
  std::map<std::string, int, std::less<>> in_flight_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_RATE_LIMIT_H_
