// How a long-running command learns that it is to end: SIGTERM and SIGINT are
// blocked before any thread starts, and one thread waits for them.
#ifndef FIREFLYSPAR_BASE_END_SIGNALS_H_
#define FIREFLYSPAR_BASE_END_SIGNALS_H_

#include <csignal>

namespace fireflyspar::base {

// Blocks the signals in this thread and in those that it starts later; to be
// made before any other thread.
class end_signals {
 public:
  end_signals();

  // Returns once one of them has come.
  void Wait() const;

 private:
  sigset_t signals_{};
};

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_END_SIGNALS_H_
