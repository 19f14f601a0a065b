// The HTTP and JSON side of the platform's stand-in: reading requests and
// sending answers by cpprestsdk.
#ifndef FIREFLYSPAR_LAB_PLATFORM_HTTP_H_
#define FIREFLYSPAR_LAB_PLATFORM_HTTP_H_

#include <cpprest/http_msg.h>

#include <cstdint>
#include <exception>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "platform/object_api.h"

namespace fireflyspar::lab {

struct answer {
  web::http::status_code status = web::http::status_codes::OK;
  std::string body = "{}";
};

answer ErrorAnswer(web::http::status_code status, std::string_view reason);

// Returns at once; the task ends once the answer is sent or its connection has
// broken, and never fails.
pplx::task<void> Send(const web::http::http_request& request,
                      const answer& made);

// A client that goes away within an exchange is no fault of the stand-in's.
void LogBroken(const std::exception& error);

// A port that is free now. The library's listener can't tell which port it got
// for 0, so that one is asked of the kernel first. Zero: there is none.
std::uint16_t FreePort();

// Zero when the text is no number.
std::uint64_t NumberOf(std::string_view text);

// The decoded value of that name in the request's query, or "".
std::string QueryValue(const web::http::http_request& request,
                       const std::string& name);

// The version in the If-Match header, or zero.
std::uint64_t IfMatch(const web::http::http_request& request);

nlohmann::json ToJson(const platform::object& each);
nlohmann::json ToJson(const std::vector<platform::object>& objects);

std::string Text(const nlohmann::json& value);

bool IsUtf8(const std::string& text);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_PLATFORM_HTTP_H_
