// Tells a backend server that has ended from one that lives but did not answer:
// where nothing listens, a connection is refused at once.
#ifndef FIREFLYSPAR_BACKEND_SERVERS_LISTENING_CHECK_H_
#define FIREFLYSPAR_BACKEND_SERVERS_LISTENING_CHECK_H_

#include <chrono>

#include "backend_servers/connection_pool.h"

namespace fireflyspar::backend_servers {

// Returns whether a connection to the address is refused. It is not if the
// connection can be made, or if nothing answers within `timeout`. A connection
// that was made is put into the pool.
net::awaitable<bool> IsConnectionRefused(connection_pool& pool,
                                         base::address to,
                                         std::chrono::milliseconds timeout);

// The same with a connection that is not kept.
net::awaitable<bool> IsConnectionRefused(net::any_io_executor executor,
                                         base::address to,
                                         std::chrono::milliseconds timeout);

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_LISTENING_CHECK_H_
