// The objects of the platform's stand-in, in memory: versions, conditional
// writes and what changed since a version. Not thread-safe; the stand-in holds
// a lock around it.
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

// The platform's limit on a value.
inline constexpr std::size_t kMaxValueBytes = 1'000'000;

class platform_store {
 public:
  // The object, or one of version zero when there is none.
  platform::object Get(std::string_view key) const;

  // Gives the new version, or zero when the object's version is not
  // `if_version`.
  std::uint64_t Put(std::string_view key, std::string value,
                    std::uint64_t if_version);

  // As Put; the version is that of the removal.
  std::uint64_t Remove(std::string_view key, std::uint64_t if_version);

  std::vector<platform::object> List(std::string_view prefix) const;

  // What changed after a version; a removed object has an empty value. Only the
  // last removals are remembered.
  std::vector<platform::object> ChangedAfter(std::string_view prefix,
                                             std::uint64_t after) const;

  // As ChangedAfter, but each object as it was before its last change: what a
  // replica that lags would answer.
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
