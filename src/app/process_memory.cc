#include "app/process_memory.h"

#include <malloc.h>

namespace fireflyspar::app {

void ReturnLargeAllocations() {
  constexpr int kLargeBytes = 131'072;
  ::mallopt(M_MMAP_THRESHOLD, kLargeBytes);
}

}  // namespace fireflyspar::app
