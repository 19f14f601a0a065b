#include "proxy/supervision.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <exception>
#include <utility>

namespace fireflyspar::proxy {
namespace {

// An error that comes at once again must not take the whole processor.
constexpr std::chrono::milliseconds kPauseAfterError{100};

net::awaitable<void> Supervise(net::any_io_executor executor,
                               std::function<net::awaitable<void>()> work,
                               unexpected_error_hook on_error) {
  for (;;) {
    try {
      co_await work();
      co_return;
    } catch (const std::exception& thrown) {
      on_error(thrown.what());
    }
    net::steady_timer pause(executor, kPauseAfterError);
    boost::system::error_code ignored;
    co_await pause.async_wait(net::redirect_error(net::use_awaitable, ignored));
  }
}

}  // namespace

void RunSupervised(net::io_context& loop,
                   const unexpected_error_hook& on_error) {
  for (;;) {
    try {
      loop.run();
      return;
    } catch (const std::exception& thrown) {
      on_error(thrown.what());
    }
  }
}

void SpawnSupervised(const net::any_io_executor& executor,
                     std::function<net::awaitable<void>()> work,
                     unexpected_error_hook on_error) {
  net::co_spawn(executor,
                Supervise(executor, std::move(work), std::move(on_error)),
                net::detached);
}

}  // namespace fireflyspar::proxy
