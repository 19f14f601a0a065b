// Keeps one unexpected error from ending the process, or from silently ending a
// part of it: the error is reported, and the work goes on.
#ifndef FIREFLYSPAR_PROXY_SUPERVISION_H_
#define FIREFLYSPAR_PROXY_SUPERVISION_H_

#include <functional>
#include <string_view>

#include "backend_servers/http.h"

namespace fireflyspar::proxy {

namespace net = boost::asio;

// Called with what an unexpected error says.
using unexpected_error_hook = std::function<void(std::string_view detail)>;

// Runs the loop until it is stopped or out of work. An exception that comes out
// of it costs the handler that threw it.
void RunSupervised(net::io_context& loop,
                   const unexpected_error_hook& on_error);

// Starts work that lasts as long as the process. When an exception ends it, it
// begins again after a pause.
void SpawnSupervised(const net::any_io_executor& executor,
                     std::function<net::awaitable<void>()> work,
                     unexpected_error_hook on_error);

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_SUPERVISION_H_
