// Computes what identifies a request across its attempts: host, method, target,
// caller and body. Ids, deadlines and what concerns one connection differ
// between attempts and do not count.
//
// The caller is the service whose backend server makes the request, or the
// organisation that it comes from, or what the request itself says of it in its
// Authorization header. The instance at which
// a caller arrives does not count, since callers come to any of them.
#ifndef FIREFLYSPAR_PROXY_IDENTIFY_REQUEST_H_
#define FIREFLYSPAR_PROXY_IDENTIFY_REQUEST_H_

#include <cstdint>
#include <string_view>

#include "backend_servers/http.h"
#include "decisions/request_identity.h"
#include "proxy/header_names.h"

namespace fireflyspar::proxy {

// Returns the caller of a nested call or of another request; empty if only the
// Authorization header may name it. `calling_service` is the service on the
// instance that the request came to. Valid while its arguments are.
std::string_view CallerOf(const backend_servers::http_request& request,
                          bool is_nested_call, std::string_view calling_service,
                          const header_names& headers);

// Returns the identity's fast hash. `caller` is what CallerOf returned.
std::uint64_t HeadHash(const backend_servers::http_request& request,
                       std::string_view caller);

// Returns the identity. Reads the whole body.
decisions::request_identity IdentifyRequest(
    const backend_servers::http_request& request, std::string_view caller);

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_IDENTIFY_REQUEST_H_
