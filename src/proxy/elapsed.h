// Time that has passed on the steady clock.
#ifndef FIREFLYSPAR_PROXY_ELAPSED_H_
#define FIREFLYSPAR_PROXY_ELAPSED_H_

#include <chrono>

#include "base/hooks.h"

namespace fireflyspar::proxy {

inline base::duration ElapsedSince(base::steady_instant begun) {
  return std::chrono::duration_cast<base::duration>(
      std::chrono::steady_clock::now() - begun);
}

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_ELAPSED_H_
