#include "lab/held_call.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace fireflyspar::lab {

namespace net = boost::asio;

// Sets what the call waits on, for the lifetime of the object.
class held_call::wait_scope {
 public:
  wait_scope(held_call& call, net::steady_timer& timer) : call_(call) {
    const std::lock_guard lock(call_.mutex_);
    call_.waiting_ = &timer;
  }
  ~wait_scope() {
    const std::lock_guard lock(call_.mutex_);
    call_.waiting_ = nullptr;
  }
  wait_scope(const wait_scope&) = delete;
  wait_scope& operator=(const wait_scope&) = delete;

 private:
  held_call& call_;
};

void held_call::Answer(answer made) {
  const std::lock_guard lock(mutex_);
  if (answer_) return;
  answer_ = std::move(made);
  if (waiting_ == nullptr) return;
  net::post(waiting_->get_executor(),
            [self = shared_from_this()] { self->Wake(); });
}

void held_call::Wake() {
  const std::lock_guard lock(mutex_);
  if (waiting_ != nullptr) waiting_->cancel();
}

net::awaitable<answer> held_call::Wait() {
  net::steady_timer timer(co_await net::this_coro::executor,
                          net::steady_timer::time_point::max());
  const wait_scope scope(*this, timer);
  const auto is_answered = [this] {
    const std::lock_guard lock(mutex_);
    return answer_.has_value();
  };
  boost::system::error_code ignored;
  auto token = net::redirect_error(net::use_awaitable, ignored);
  while (!is_answered()) co_await timer.async_wait(token);
  const std::lock_guard lock(mutex_);
  co_return *answer_;
}

}  // namespace fireflyspar::lab
