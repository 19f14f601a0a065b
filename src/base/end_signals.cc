#include "base/end_signals.h"

#include <pthread.h>

namespace fireflyspar::base {

end_signals::end_signals() {
  sigemptyset(&signals_);
  sigaddset(&signals_, SIGTERM);
  sigaddset(&signals_, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
}

void end_signals::Wait() const {
  int received = 0;
  sigwait(&signals_, &received);
}

}  // namespace fireflyspar::base
