// One proxy process on the instance of a backend server. It routes callers'
// requests, runs the gate in front of the server, and keeps the state that both
// need up to date from the store. Everything runs as coroutines on one thread
// and nothing blocks. This file only connects the parts.
#ifndef FIREFLYSPAR_APP_PROXY_PROCESS_H_
#define FIREFLYSPAR_APP_PROXY_PROCESS_H_

#include "app/platform_adapter.h"

namespace fireflyspar::app {

// Runs until SIGTERM or SIGINT, then until all running requests have ended or
// the shutdown limit has passed. Returns the exit code.
int RunProxyProcess(const platform_adapter& adapter);

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_PROXY_PROCESS_H_
