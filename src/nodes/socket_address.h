// Converts a numeric address to the event loop's address type, without a name
// lookup.
#ifndef FIREFLYSPAR_NODES_SOCKET_ADDRESS_H_
#define FIREFLYSPAR_NODES_SOCKET_ADDRESS_H_

#include <kj/async-io.h>

#include "base/address.h"

namespace fireflyspar::nodes {

// Converts the address. Throws a kj::Exception if it is not numeric.
kj::Own<kj::NetworkAddress> ToNetworkAddress(kj::Network& network,
                                             const base::address& address);

}  // namespace fireflyspar::nodes

#endif  // FIREFLYSPAR_NODES_SOCKET_ADDRESS_H_
