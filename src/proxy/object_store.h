// What the proxy needs of the store in which everything lasting lies: objects
// by kind and name, each with a revision that conditional writes name, lists,
// and watches that tell what changed after a revision. The deployment brings
// the calls as hooks.
#ifndef FIREFLYSPAR_PROXY_OBJECT_STORE_H_
#define FIREFLYSPAR_PROXY_OBJECT_STORE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "backend_servers/http.h"
#include "base/result.h"

namespace fireflyspar::proxy {

namespace net = boost::asio;

struct stored_object {
  std::string name;
  std::uint64_t revision = 0;  // Of its last change.
  std::uint64_t created = 0;   // Differs for an object made anew.
  nlohmann::json content;      // Null when it could not be read.
  nlohmann::json status;
};

struct object_list {
  std::vector<stored_object> objects;
  std::uint64_t revision = 0;  // Of the store; to watch from.
};

struct object_change {
  stored_object object;
  bool is_removal = false;
};

struct object_changes {
  std::vector<object_change> changes;
  std::uint64_t revision = 0;
};

template <typename T>
using async_result = boost::asio::awaitable<base::result<T>>;

// Failures are of kPlatformUnavailable, kPlatformOverRate, kAnswerLost,
// kConflict, kNotFound and, for a watch, kHistoryGone.
struct object_store {
  std::function<async_result<object_list>(std::string kind)> list;
  // Waits up to `wait` for a change after `revision`, or until cancelled. One
  // that may be late is cheaper, and may tell of a change seconds afterwards.
  std::function<async_result<object_changes>(
      std::string kind, std::uint64_t revision, std::chrono::milliseconds wait,
      bool may_be_late, backend_servers::cancellation& cancel)>
      watch;
  // Asks for next to nothing, at the least price there is; fails when the store
  // does not serve this process within the time.
  std::function<async_result<base::nothing>(std::chrono::milliseconds timeout)>
      probe;
  std::function<async_result<stored_object>(std::string kind, std::string name)>
      get;
  // With the object's revision 0: makes it, and fails when it exists already.
  std::function<async_result<stored_object>(std::string kind,
                                            stored_object object)>
      put_content;
  std::function<async_result<stored_object>(std::string kind,
                                            stored_object object)>
      put_status;
  std::function<async_result<base::nothing>(std::string kind, std::string name,
                                            std::uint64_t revision)>
      remove;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_OBJECT_STORE_H_
