#include "platform/worker_thread.h"

#include <utility>

namespace fireflyspar::platform {

void worker_thread::Start(std::function<void()> step) {
  thread_ = std::thread([this, step = std::move(step)] {
    while (!Stopping()) step();
  });
}

void worker_thread::Stop(const std::function<void()>& interrupt) {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  interrupt();
  if (thread_.joinable()) thread_.join();
}

void worker_thread::Pause(base::duration wait) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, wait, [this] { return stopping_ || woken_; });
  woken_ = false;
}

void worker_thread::Wake() {
  {
    const std::lock_guard lock(mutex_);
    woken_ = true;
  }
  changed_.notify_all();
}

bool worker_thread::Stopping() {
  const std::lock_guard lock(mutex_);
  return stopping_;
}

}  // namespace fireflyspar::platform
