// Termination signals of a long-running command: SIGTERM and SIGINT are blocked
// before any thread starts, and one thread waits for them.
#ifndef FIREFLYSPAR_BASE_END_SIGNALS_H_
#define FIREFLYSPAR_BASE_END_SIGNALS_H_

#include <csignal>

namespace fireflyspar::base {

// Blocks the signals in the current thread and in the threads that it starts
// later. Must be constructed before any other thread starts.
class end_signals {
 public:
  end_signals();

  // Blocks until SIGTERM or SIGINT is received.
  void Wait() const;

 private:
  sigset_t signals_{};
};

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_END_SIGNALS_H_
