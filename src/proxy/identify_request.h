// Computes what identifies a request across its attempts: host, method, target,
// caller and body. Ids, deadlines and what concerns one connection differ
// between attempts and do not count.
//
// The caller is the service whose backend server makes the request, or what the
// request itself says of it in its Authorization header. The instance at which
// a caller arrives does not count, since callers come to any of them.
#ifndef FIREFLYSPAR_PROXY_IDENTIFY_REQUEST_H_
#define FIREFLYSPAR_PROXY_IDENTIFY_REQUEST_H_

#include <cstdint>
#include <string_view>

#include "backend_servers/http.h"
#include "decisions/request_identity.h"

namespace fireflyspar::proxy {

// Returns the identity's fast hash. `calling_service` is the service of the
// backend server that makes the request; empty for a request of a client.
std::uint64_t HeadHash(const backend_servers::http_request& request,
                       std::string_view calling_service);

// Returns the identity. Reads the whole body.
decisions::request_identity IdentifyRequest(
    const backend_servers::http_request& request,
    std::string_view calling_service);

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_IDENTIFY_REQUEST_H_
