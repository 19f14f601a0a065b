// A call whose answer may be made later and on another thread, without a thread
// that waits for it.
#ifndef FIREFLYSPAR_LAB_HELD_CALL_H_
#define FIREFLYSPAR_LAB_HELD_CALL_H_

// clang-format off: this Asio uses std::exchange without including <utility>.
#include <utility>
// clang-format on

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <mutex>
#include <optional>

#include "backend_servers/http.h"
#include "lab/platform_http.h"

namespace fireflyspar::lab {

class held_call : public std::enable_shared_from_this<held_call> {
 public:
  explicit held_call(backend_servers::http_request request)
      : request_(std::move(request)) {}

  const backend_servers::http_request& Request() const { return request_; }

  // Sets the answer; only the first one counts. May be called from any thread,
  // also when nobody waits any more.
  void Answer(answer made);

  // Returns the answer when there is one. Called once.
  boost::asio::awaitable<answer> Wait();

 private:
  class wait_scope;

  void Wake();

  const backend_servers::http_request request_;

  std::mutex mutex_;  // Protects the members below.
  std::optional<answer> answer_;
  // What Wait waits on; null unless it does. Its event loop is alive while it
  // is set.
  boost::asio::steady_timer* waiting_ = nullptr;
};

using held_call_ptr = std::shared_ptr<held_call>;

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_HELD_CALL_H_
