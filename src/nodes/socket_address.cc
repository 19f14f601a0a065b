#include "nodes/socket_address.h"

#include <arpa/inet.h>
#include <kj/debug.h>
#include <netinet/in.h>

namespace fireflyspar::nodes {

kj::Own<kj::NetworkAddress> ToNetworkAddress(kj::Network& network,
                                             const base::address& address) {
  sockaddr_in v4{};
  v4.sin_family = AF_INET;
  v4.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.ip.c_str(), &v4.sin_addr) == 1) {
    return network.getSockaddr(&v4, sizeof(v4));
  }
  sockaddr_in6 v6{};
  v6.sin6_family = AF_INET6;
  v6.sin6_port = htons(address.port);
  if (inet_pton(AF_INET6, address.ip.c_str(), &v6.sin6_addr) == 1) {
    return network.getSockaddr(&v6, sizeof(v6));
  }
  kj::throwFatalException(
      KJ_EXCEPTION(FAILED, "not a numeric address", address.ip.c_str()));
}

}  // namespace fireflyspar::nodes
