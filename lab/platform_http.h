// HTTP and JSON helpers of the platform's stand-in.
#ifndef FIREFLYSPAR_LAB_PLATFORM_HTTP_H_
#define FIREFLYSPAR_LAB_PLATFORM_HTTP_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "backend_servers/http.h"
#include "platform/object_api.h"

namespace fireflyspar::lab {

struct answer {
  backend_servers::http::status status = backend_servers::http::status::ok;
  std::string body = "{}";
};

answer ErrorAnswer(backend_servers::http::status status,
                   std::string_view reason);

backend_servers::http_response ToHttp(answer made);

// Returns the decoded path of a request, without its query. Throws
// web::uri_exception if the request's target is malformed, as do the next.
std::string PathOf(const backend_servers::http_request& request);

// Returns the number that the text begins with and ignores the rest, so "12x"
// gives 12. Returns zero if the text does not begin with a digit or the number
// does not fit.
std::uint64_t NumberOf(std::string_view text);

// Returns the decoded query parameter of that name, or "" if there is none.
std::string QueryValue(const backend_servers::http_request& request,
                       const std::string& name);

// Returns the version in the If-Match header, or zero if there is none.
std::uint64_t IfMatch(const backend_servers::http_request& request);

nlohmann::json ToJson(const platform::object& each);
nlohmann::json ToJson(const std::vector<platform::object>& objects);

// Serializes the value on one line; invalid UTF-8 is replaced.
std::string DumpJson(const nlohmann::json& value);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_PLATFORM_HTTP_H_
