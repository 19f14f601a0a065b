// Where the backend server beside this node announces itself: POST /announce,
// once a second. The handler can be mounted on any cpprestsdk listener.
#ifndef FIREFLYSPAR_BACKEND_SERVERS_ANNOUNCE_LISTENER_H_
#define FIREFLYSPAR_BACKEND_SERVERS_ANNOUNCE_LISTENER_H_

#include <cpprest/http_listener.h>

#include "backend_servers/gate.h"

namespace fireflyspar::backend_servers {

// Reads the announcement from the request, gives it to the gate and replies:
// 204 when it was taken, else the error's status with a JSON body. `target`
// must outlive the request.
void HandleAnnounce(gate& target, web::http::http_request request);

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_ANNOUNCE_LISTENER_H_
