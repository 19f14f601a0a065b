#include "lab/platform_http.h"

#include <cpprest/base_uri.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace fireflyspar::lab {
namespace {

using backend_servers::http_request;
using backend_servers::http_response;
using nlohmann::json;
namespace http = backend_servers::http;

web::uri UriOf(const http_request& request) {
  return {std::string(backend_servers::ToView(request.target()))};
}

}  // namespace

std::uint64_t NumberOf(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

json ToJson(const platform::object& each) {
  return {{"key", each.key}, {"version", each.version}, {"value", each.value}};
}

json ToJson(const std::vector<platform::object>& objects) {
  json listed = json::array();
  std::ranges::transform(
      objects, std::back_inserter(listed),
      [](const platform::object& each) { return ToJson(each); });
  return {{"objects", std::move(listed)}};
}

std::string DumpJson(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

answer ErrorAnswer(http::status status, std::string_view reason) {
  return {.status = status, .body = DumpJson({{"error", reason}})};
}

http_response ToHttp(answer made) {
  http_response response(made.status, 11);
  response.set(http::field::content_type, "application/json");
  if (made.status == http::status::too_many_requests) {
    response.set(http::field::retry_after, "1");
  }
  response.body() = std::move(made.body);
  response.prepare_payload();
  return response;
}

std::string PathOf(const http_request& request) {
  return web::uri::decode(UriOf(request).path());
}

std::string QueryValue(const http_request& request, const std::string& name) {
  const auto query = web::uri::split_query(UriOf(request).query());
  const auto found = query.find(name);
  return found == query.end() ? "" : web::uri::decode(found->second);
}

std::uint64_t IfMatch(const http_request& request) {
  return NumberOf(backend_servers::HeaderOf(request, "If-Match"));
}

}  // namespace fireflyspar::lab
