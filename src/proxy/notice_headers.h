// Reads the notices that a backend server gives in the headers of its answers.
#ifndef FIREFLYSPAR_PROXY_NOTICE_HEADERS_H_
#define FIREFLYSPAR_PROXY_NOTICE_HEADERS_H_

#include <optional>

#include "backend_servers/http.h"
#include "decisions/server_notices.h"
#include "proxy/header_names.h"

namespace fireflyspar::proxy {

// Returns what the answer says; nullopt if a notice in it can't be read. The
// limit is a decimal number, at least zero; leaving is said with "1".
std::optional<decisions::server_notices> ReadNotices(
    const backend_servers::http_response& answer, const header_names& names);

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_NOTICE_HEADERS_H_
