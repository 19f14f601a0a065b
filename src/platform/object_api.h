// Defines the platform's object API as a small set of std::function hooks, so
// that the users' own implementation, the HTTP client of this folder and a fake
// in a test are interchangeable. Calls block up to the client's timeout and are
// made from worker threads only. Every call, including a waiting watch, counts
// against the platform's rate limits.
#ifndef FIREFLYSPAR_PLATFORM_OBJECT_API_H_
#define FIREFLYSPAR_PLATFORM_OBJECT_API_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace fireflyspar::platform {

// One stored object. Every write to any object of the platform gets a greater
// `version` than all before it; zero means that the object does not exist.
struct object {
  std::string key;
  std::uint64_t version = 0;
  std::string value;  // At most a megabyte.

  bool operator==(const object&) const = default;
};

struct object_api {
  // Returns the object with this key; fails with kNotFound if there is none.
  std::function<base::result<object>(std::string_view key)> get;

  // Writes the object if its version is still `if_version` (zero: if it does
  // not exist) and returns the new version. Fails with kConflict if the version
  // differs, and with kResponseLost if the write may or may not have taken
  // effect: the caller then reads the object again and looks for its operation
  // id.
  std::function<base::result<std::uint64_t>(
      std::string_view key, std::string_view value, std::uint64_t if_version)>
      put;

  // Returns every object whose key begins with `prefix`, sorted by key.
  std::function<base::result<std::vector<object>>(std::string_view prefix)>
      list;

  // Waits up to `wait` until an object below `prefix` has a version greater
  // than `after`, and returns the current state of the changed objects; empty
  // if nothing changed in time. The result may be stale or repeat an earlier
  // one, so callers compare versions. A removed object is returned with the
  // version of its removal and an empty value, unless the platform no longer
  // has a record of the removal.
  std::function<base::result<std::vector<object>>(
      std::string_view prefix, std::uint64_t after,
      std::chrono::milliseconds wait)>
      watch;

  // Removes the object if its version is still `if_version`.
  std::function<base::result<base::success>(std::string_view key,
                                            std::uint64_t if_version)>
      remove;

  // Ends every waiting call, and every later one at once, with kCancelled, so
  // that a process can stop while the platform hangs. May be empty. A component
  // that is stopped separately needs its own API object, since this affects all
  // users of the object.
  std::function<void()> interrupt;
};

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_PLATFORM_OBJECT_API_H_
