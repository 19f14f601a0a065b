#include "callers/http_service.h"

#include <memory>
#include <thread>
#include <utility>

#include "callers/worker_pool.h"

namespace fireflyspar::callers {

struct http_service::running_service {
  explicit running_service(http_service_options options)
      : workers(options.workers),
        listener(workers, std::move(options.listener)) {}

  // Closes whatever connection is left, as the event loops hold them.
  worker_pool workers;
  http_listener listener;
};

http_service::http_service(http_service_options options)
    : stop_limit_(options.stop_limit),
      running_(std::make_unique<running_service>(std::move(options))) {}

http_service::~http_service() { Stop(); }

base::status http_service::Start() {
  base::status started = running_->listener.Start();
  if (started) running_->workers.Start();
  return started;
}

void http_service::Stop() {
  using steady = std::chrono::steady_clock;
  constexpr std::chrono::milliseconds kPoll{1};
  if (!running_) return;
  running_->listener.Finish();
  const auto deadline = steady::now() + stop_limit_;
  while (running_->listener.Active() > 0 && steady::now() < deadline) {
    std::this_thread::sleep_for(kPoll);
  }
  running_->workers.Stop();
  running_.reset();
}

base::address http_service::Address() const {
  return running_->listener.Address();
}

}  // namespace fireflyspar::callers
