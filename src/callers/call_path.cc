#include "callers/call_path.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <thread>
#include <utility>

#include "callers/http_listener.h"
#include "callers/router.h"
#include "callers/worker_pool.h"

namespace fireflyspar::callers {

class call_path::state {
 public:
  explicit state(call_path_options options)
      : options_(std::move(options)),
        workers_(options_.workers),
        router_(options_) {
    using config::visibility;
    Listen(options_.outside_address, [this](incoming_request& call) {
      return router_.Route(call, visibility::kOutside);
    });
    Listen(options_.inside_address, [this](incoming_request& call) {
      return router_.Route(call, visibility::kInside);
    });
    Listen(options_.gate_address, [this](incoming_request& call) {
      return router_.HandleGateRequest(call);
    });
  }

  ~state() { workers_.Stop(); }

  base::status Start() {
    for (const auto& listener : listeners_) {
      const base::status started = listener->Start();
      if (!started) return started;
    }
    router_.Tick();
    net::co_spawn(workers_.At(0).loop, TickLoop(), net::detached);
    workers_.Start();
    return base::success{};
  }

  bool Finish(std::chrono::milliseconds limit) {
    constexpr std::chrono::milliseconds kPoll{5};
    router_.Finish();
    for (const auto& listener : listeners_) listener->Finish();
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (Active() > 0 && std::chrono::steady_clock::now() < deadline) {
      std::this_thread::sleep_for(kPoll);
    }
    const bool finished = Active() == 0;
    workers_.Stop();
    return finished;
  }

  bound_addresses Bound() const {
    return {.outside = listeners_[0]->Address(),
            .inside = listeners_[1]->Address(),
            .gate = listeners_[2]->Address()};
  }

 private:
  // Adds a listener for the address, but does not start it.
  void Listen(const base::address& address, request_handler handler) {
    listeners_.push_back(std::make_unique<http_listener>(
        workers_,
        http_listener_options{.address = address,
                              .handler = std::move(handler),
                              .read_timeout = options_.read_timeout}));
  }

  net::awaitable<void> TickLoop() {
    constexpr std::chrono::milliseconds kInterval{250};
    boost::system::error_code ignored;
    auto token = net::redirect_error(net::use_awaitable, ignored);
    net::steady_timer timer(workers_.At(0).loop);
    for (;;) {
      timer.expires_after(kInterval);
      co_await timer.async_wait(token);
      router_.Tick();
    }
  }

  // Returns the number of requests that all listeners are handling or
  // answering.
  int Active() const {
    int active = 0;
    for (const auto& listener : listeners_) active += listener->Active();
    return active;
  }

  call_path_options options_;
  worker_pool workers_;
  router router_;
  std::vector<std::unique_ptr<http_listener>> listeners_;
};

call_path::call_path(call_path_options options)
    : state_(std::make_unique<state>(std::move(options))) {}
call_path::~call_path() = default;

base::status call_path::Start() { return state_->Start(); }

bool call_path::Finish(std::chrono::milliseconds limit) {
  return state_->Finish(limit);
}

bound_addresses call_path::Bound() const { return state_->Bound(); }

}  // namespace fireflyspar::callers
