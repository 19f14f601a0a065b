// The interface to the store that holds all persistent state. It holds objects
// by kind and name; each has a revision, on which writes can be conditional.
// Objects can be listed, and watches report the changes after a revision. The
// deployment provides the calls as hooks.
//
// The store may be restored from an older copy (base/store_revision.h). A
// revision from before that is never used in a call: a write that depends on it
// fails with kConflict, and a watch from it with kHistoryGone.
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
#include "base/store_revision.h"

namespace fireflyspar::proxy {

namespace net = boost::asio;

struct stored_object {
  std::string name;
  base::store_revision revision;  // Of the last change of the object.
  // Of the object's creation; differs if it was deleted and recreated.
  base::store_revision create_revision;
  nlohmann::json content;  // Null if missing or unreadable.
  nlohmann::json status;
};

struct object_list {
  std::vector<stored_object> objects;
  base::store_revision revision;  // Of the store; a watch starts from it.
};

struct object_change {
  stored_object object;
  bool is_removal = false;
};

struct object_changes {
  std::vector<object_change> changes;
  base::store_revision revision;
};

template <typename T>
using async_result = boost::asio::awaitable<base::result<T>>;

// The calls fail with kPlatformUnavailable, kPlatformOverRate, kResponseLost,
// kConflict, kNotFound and, for a watch, kHistoryGone.
struct object_store {
  // With `allow_stale`, here and below, the call is cheaper, but may return
  // what was true some seconds ago.
  std::function<async_result<object_list>(std::string kind, bool allow_stale)>
      list;
  // Waits up to `wait` for a change after `revision`, or until cancelled.
  std::function<async_result<object_changes>(
      std::string kind, base::store_revision revision,
      std::chrono::milliseconds wait, bool allow_stale,
      backend_servers::cancellation& cancel)>
      watch;
  // Makes the cheapest call that the store offers. Fails if the store does not
  // serve this process within `timeout`.
  std::function<async_result<base::success>(std::chrono::milliseconds timeout)>
      probe;
  std::function<async_result<stored_object>(std::string kind, std::string name,
                                            bool allow_stale)>
      get;
  // Creates the object if its `revision` is none, and fails if it already
  // exists.
  std::function<async_result<stored_object>(std::string kind,
                                            stored_object object)>
      put_content;
  std::function<async_result<stored_object>(std::string kind,
                                            stored_object object)>
      put_status;
  std::function<async_result<base::success>(std::string kind, std::string name,
                                            base::store_revision revision)>
      remove;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_OBJECT_STORE_H_
