// Addresses for the listeners of tests.
#ifndef FIREFLYSPAR_TESTS_FREE_ADDRESS_H_
#define FIREFLYSPAR_TESTS_FREE_ADDRESS_H_

#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <string>

#include "base/address.h"

namespace fireflyspar::tests {

// Returns a loopback address that is this process's own. Clients on loopback
// have 127.0.0.1, so none of their ports stands in the way of a listener here.
inline std::string OwnLoopbackIp() {
  constexpr int kValues = 250;
  constexpr int kFirstNetwork = 100;
  const int process = ::getpid();
  return "127." + std::to_string(kFirstNetwork + process / kValues % 100) +
         "." + std::to_string(process % kValues) + ".1";
}

// Returns an address at which nobody listens or listened; a test may do so
// later. It is below the ports that the system gives out, and returned once.
inline base::address FreeAddress() {
  static std::atomic<std::uint16_t> next_port{10'000};
  return {.ip = OwnLoopbackIp(), .port = next_port++};
}

}  // namespace fireflyspar::tests

#endif  // FIREFLYSPAR_TESTS_FREE_ADDRESS_H_
