// Reads and conditional writes at the platform, with retries on transient
// failures. The important failure is a lost response: the write may have taken
// effect, may take effect later, or never. Retrying the identical conditional
// write decides this: either the retry takes effect, or it conflicts, and the
// object's present value then shows which write took effect.
#ifndef FIREFLYSPAR_OPERATORS_PLATFORM_CALLS_H_
#define FIREFLYSPAR_OPERATORS_PLATFORM_CALLS_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "operators/context.h"

namespace fireflyspar::operators {

// Reads an object. Retries after a pause while the platform is unavailable or
// over its request rate.
base::result<platform::object> Get(const context& ctx, std::string_view key);

// Lists the objects whose keys begin with `prefix`, with the same retries.
base::result<std::vector<platform::object>> List(const context& ctx,
                                                 std::string_view prefix);

// Like Get, but returns an object with version zero and no value if there is
// none.
base::result<platform::object> GetOrNone(const context& ctx,
                                         std::string_view key);

struct conditional_write {
  std::string key;
  std::string value;
  std::uint64_t if_version = 0;
  // Returns whether `now`, the stored object, is the result of this write.
  std::function<bool(const platform::object& now)> is_ours;
};

struct write_result {
  bool took_effect = false;
  // If took_effect is false: whether the response to an earlier attempt was
  // lost. If so, that attempt may have taken effect and its value may have been
  // replaced by another write since.
  bool response_was_lost = false;
  platform::object now;  // The object as it is stored now.
};

// Makes the write, with retries, and returns its outcome. Fails with
// kResponseLost if the platform was unavailable for so long that the outcome is
// unknown, and with another kind if the write certainly did not take effect.
base::result<write_result> WriteConditionally(const context& ctx,
                                              const conditional_write& write);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_PLATFORM_CALLS_H_
