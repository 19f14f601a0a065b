// Reads and conditional writes at the platform that ride out its passing
// faults. The important one is the lost answer: a write whose answer is lost
// may have taken effect, may take effect later, or may never. Trying the very
// same conditional write again settles it: either it goes through, or it
// conflicts, and then what stands there now tells whose write won.
#ifndef FIREFLYSPAR_OPERATORS_PLATFORM_CALLS_H_
#define FIREFLYSPAR_OPERATORS_PLATFORM_CALLS_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "operators/context.h"

namespace fireflyspar::operators {

// Reads, again after a pause when the platform is unavailable or over its rate.
base::result<platform::object> Get(const context& with, std::string_view key);
base::result<std::vector<platform::object>> List(const context& with,
                                                 std::string_view prefix);

// As Get, but an object that does not exist has version zero and no value.
base::result<platform::object> GetOrNone(const context& with,
                                         std::string_view key);

struct conditional_write {
  std::string key;
  std::string value;
  std::uint64_t if_version = 0;
  // Whether the object that now stands there is this write's own.
  std::function<bool(const platform::object& now)> is_ours;
};

struct write_result {
  bool took_effect = false;
  // When it did not: an answer was lost before, so that another's write may
  // have gone over ours rather than before it.
  bool was_lost = false;
  platform::object now;
};

// The write's outcome once it is certain. Fails with kAnswerLost when the
// platform stayed away until the outcome could not be learned, and with
// another kind when the write certainly did not take effect.
base::result<write_result> Write(const context& with,
                                 const conditional_write& write);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_PLATFORM_CALLS_H_
