// The platform's object API as a small set of std::function hooks, so that the
// users' real one, our HTTP client for the usual form of it, and a test's fake
// are interchangeable. Calls block up to the client's timeout and are made
// from worker threads only. Every call counts against the platform's rates,
// also a waiting watch.
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

// One stored object. `version` grows with every write anywhere at the platform
// and is zero for an object that does not exist.
struct object {
  std::string key;
  std::uint64_t version = 0;
  std::string value;  // At most a megabyte.

  bool operator==(const object&) const = default;
};

struct object_api {
  // The object of that key; kNotFound when there is none.
  std::function<base::result<object>(std::string_view key)> get;

  // Writes only if the object's version still is `if_version` (zero: only if
  // it does not exist) and gives the new version. Fails with kConflict when it
  // is not, and with kAnswerLost when the write may or may not have happened:
  // the caller then reads again and looks for its operation id.
  std::function<base::result<std::uint64_t>(
      std::string_view key, std::string_view value, std::uint64_t if_version)>
      put;

  // Every object whose key begins with `prefix`, sorted by key.
  std::function<base::result<std::vector<object>>(std::string_view prefix)>
      list;

  // Waits up to `wait` for changes after version `after` below `prefix` and
  // gives the objects as they now are; empty when nothing changed in time. May
  // be stale or repeat itself: callers compare versions. A removed object is
  // given with the version of its removal and an empty value, unless the
  // platform no longer remembers it.
  std::function<base::result<std::vector<object>>(
      std::string_view prefix, std::uint64_t after,
      std::chrono::milliseconds wait)>
      watch;

  // Removes the object if its version still is `if_version`.
  std::function<base::result<base::nothing>(std::string_view key,
                                            std::uint64_t if_version)>
      remove;

  // Ends every call that waits now, and every later one at once, with
  // kCancelled, so that a process can stop while the platform hangs. May be
  // empty. A user that stops on its own needs an API object of its own.
  std::function<void()> interrupt;
};

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_PLATFORM_OBJECT_API_H_
