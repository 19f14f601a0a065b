// One thread that runs a loop with pauses and ends promptly: the shape of every
// job that this package does in the background.
#ifndef FIREFLYSPAR_PLATFORM_WORKER_THREAD_H_
#define FIREFLYSPAR_PLATFORM_WORKER_THREAD_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "base/hooks.h"

namespace fireflyspar::platform {

class worker_thread {
 public:
  ~worker_thread() {
    Stop([] {});
  }

  // Runs `step` again and again until Stop. A step that has nothing to do
  // pauses.
  void Start(std::function<void()> step);

  // Ends a pause at once, calls `interrupt` to end whatever else the step waits
  // in, and joins.
  void Stop(const std::function<void()>& interrupt);

  // For the step: waits until the time is over, Wake or Stop.
  void Pause(base::duration wait);

  // Ends the pause that is or, if there is none, the next one.
  void Wake();

  bool Stopping();

 private:
  std::thread thread_;
  std::mutex mutex_;  // Guards the rest; a leaf in the lock order.
  std::condition_variable changed_;
  bool stopping_ = false;
  bool woken_ = false;
};

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_PLATFORM_WORKER_THREAD_H_
