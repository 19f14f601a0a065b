// One proxy process beside a backend server: callers' requests in, the gate in
// front of the server, and what both need to know kept up to date from the
// store. Everything runs on one thread, in turns; nothing blocks. This file
// only joins the parts.
#ifndef FIREFLYSPAR_APP_PROXY_PROCESS_H_
#define FIREFLYSPAR_APP_PROXY_PROCESS_H_

#include "app/platform_adapter.h"

namespace fireflyspar::app {

// Runs until SIGTERM or SIGINT and everything under way has ended, or the limit
// for that has passed. Returns the exit code.
int RunProxyProcess(const platform_adapter& adapter);

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_PROXY_PROCESS_H_
