// What a router and a gate tell each other of a request under which servers
// ended: a header beside the offer and beside the outcome, as JSON. Requests of
// which nothing is known have no such header.
#ifndef FIREFLYSPAR_PROXY_SUSPECT_HEADERS_H_
#define FIREFLYSPAR_PROXY_SUSPECT_HEADERS_H_

#include "backend_servers/http.h"
#include "proxy/gate_messages.h"

namespace fireflyspar::proxy {

void WriteSuspect(const call_offer& offer,
                  backend_servers::http_request& request);
void WriteSuspect(const gate_outcome& outcome,
                  backend_servers::http_response& message);

// Read what was written. What can't be read counts as not said.
void ReadSuspect(const backend_servers::http_request& request,
                 call_offer& offer);
void ReadSuspect(const backend_servers::http_response& message,
                 gate_outcome& outcome);

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_SUSPECT_HEADERS_H_
