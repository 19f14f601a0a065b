// The in-memory object store of the platform's stand-in: versioned objects,
// conditional writes, and the changes since a version. Not thread-safe; the
// stand-in holds a lock during each call.
#ifndef FIREFLYSPAR_LAB_PLATFORM_STORE_H_
#define FIREFLYSPAR_LAB_PLATFORM_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "platform/object_api.h"

namespace fireflyspar::lab {

// The platform's limit on the size of a value.
inline constexpr std::size_t kMaxValueBytes = 1'000'000;

class platform_store {
 public:
  // Returns the object, or one with version zero when there is none.
  platform::object Get(std::string_view key) const;

  // Writes the object. Returns the new version, or zero without a write when
  // the object's version is not `if_version`.
  std::uint64_t Put(std::string_view key, std::string value,
                    std::uint64_t if_version);

  // Removes the object under the same condition as Put. Returns the version of
  // the removal, or zero.
  std::uint64_t Remove(std::string_view key, std::uint64_t if_version);

  std::vector<platform::object> List(std::string_view prefix) const;

  // Returns the objects that changed after a version. A removed object has an
  // empty value; only the last 1,000 removals are kept.
  std::vector<platform::object> ChangedAfter(std::string_view prefix,
                                             std::uint64_t after) const;

  // Returns the same objects as ChangedAfter, each with its value and version
  // from before its last change, as a lagging replica would return them.
  std::vector<platform::object> StaleChangedAfter(std::string_view prefix,
                                                  std::uint64_t after) const;

 private:
  std::map<std::string, platform::object, std::less<>> objects_;
  std::map<std::string, platform::object, std::less<>> previous_;
  std::deque<platform::object> removals_;
  std::uint64_t last_version_ = 0;
};

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_PLATFORM_STORE_H_
