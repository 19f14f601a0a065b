// Runs a step function in a loop on one thread, with pauses that can be ended
// early, and stops promptly. Every background job of this folder uses it.
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

  // Starts the thread, which calls `step` repeatedly until Stop. A step that
  // has nothing to do calls Pause.
  void Start(std::function<void()> step);

  // Ends a pause at once, calls `interrupt` to end any other call in which the
  // step waits, and joins the thread.
  void Stop(const std::function<void()>& interrupt);

  // Waits until `wait` has passed, or until Wake or Stop. Called by the step.
  void Pause(base::duration wait);

  // Ends the current pause or, if there is none, the next one.
  void Wake();

  bool Stopping();

 private:
  std::thread thread_;
  std::mutex mutex_;  // Guards the members below; a leaf in the lock order.
  std::condition_variable changed_;
  bool stopping_ = false;
  bool woken_ = false;
};

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_PLATFORM_WORKER_THREAD_H_
