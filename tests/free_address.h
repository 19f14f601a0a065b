// Addresses for the listeners of tests.
#ifndef FIREFLYSPAR_TESTS_FREE_ADDRESS_H_
#define FIREFLYSPAR_TESTS_FREE_ADDRESS_H_

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <mutex>
#include <set>
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

// Returns an address at which a test can listen later: nobody listens there,
// and it is returned once only.
inline base::address FreeAddress(boost::asio::io_context& loop) {
  static std::mutex mutex;
  static std::set<std::uint16_t> returned;
  const std::string ip = OwnLoopbackIp();
  const std::lock_guard lock(mutex);
  for (;;) {
    const boost::asio::ip::tcp::acceptor probe(
        loop, {boost::asio::ip::make_address_v4(ip), 0});
    const std::uint16_t port = probe.local_endpoint().port();
    if (returned.insert(port).second) return {.ip = ip, .port = port};
  }
}

}  // namespace fireflyspar::tests

#endif  // FIREFLYSPAR_TESTS_FREE_ADDRESS_H_
