// How this process gets its memory from the operating system.
#ifndef FIREFLYSPAR_APP_PROCESS_MEMORY_H_
#define FIREFLYSPAR_APP_PROCESS_MEMORY_H_

namespace fireflyspar::app {

// Makes large allocations go back to the operating system when they are freed.
// Otherwise long bodies leave gaps in the heap. Must be called before threads
// are started.
void ReturnLargeAllocations();

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_PROCESS_MEMORY_H_
