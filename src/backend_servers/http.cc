#include "backend_servers/http.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <nlohmann/json.hpp>
#include <vector>

#include "backend_servers/headers.h"

namespace fireflyspar::backend_servers {
namespace {

constexpr std::array<std::string_view, 9> kConnectionHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade"};

bool StartsWithIgnoringCase(std::string_view text, std::string_view prefix) {
  return text.size() >= prefix.size() &&
         std::ranges::equal(text.substr(0, prefix.size()), prefix,
                            [](unsigned char left, unsigned char right) {
                              return std::tolower(left) == right;
                            });
}

}  // namespace

std::string_view HeaderOf(const http_request& message, std::string_view name) {
  return ToView(message[ToBeast(name)]);
}

std::string_view HeaderOf(const http_response& message, std::string_view name) {
  return ToView(message[ToBeast(name)]);
}

void DropConnectionHeaders(http::fields& headers) {
  std::vector<std::string> connection_options;
  for (const auto& token : http::token_list(headers[http::field::connection])) {
    connection_options.emplace_back(token);
  }
  for (const std::string& name : connection_options) headers.erase(name);
  for (const std::string_view name : kConnectionHeaders) {
    headers.erase(ToBeast(name));
  }
}

void DropHeadersWithPrefix(http::fields& headers, std::string_view prefix) {
  for (auto each = headers.begin(); each != headers.end();) {
    if (StartsWithIgnoringCase(ToView(each->name_string()), prefix)) {
      each = headers.erase(each);
    } else {
      ++each;
    }
  }
}

void EnableDeadPeerDetection(tcp::socket& socket,
                             std::chrono::milliseconds timeout) {
  const int handle = socket.native_handle();
  const int user_timeout = static_cast<int>(timeout.count());
  const int on = 1;
  const int seconds = 1;  // Time before the first probe and between probes.
  const int probes = 2;
  ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout,
               sizeof(user_timeout));
  ::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

tcp::endpoint ToEndpoint(const base::address& address) {
  boost::system::error_code ignored;
  return {net::ip::make_address(address.ip, ignored), address.port};
}

base::address ToAddress(const tcp::endpoint& endpoint) {
  return {.ip = endpoint.address().to_string(), .port = endpoint.port()};
}

std::string_view HostOf(const http_request& request) {
  const std::string_view host = HeaderOf(request, "Host");
  return host.substr(0, host.find(':'));
}

http_response MakeRefusal(base::error_kind kind, std::string_view detail) {
  return MakeRefusal(kind, detail, base::ErrorInfoFor(kind).state);
}

http_response MakeRefusal(base::error_kind kind, std::string_view detail,
                          base::run_state run) {
  const base::error_info& row = base::ErrorInfoFor(kind);
  http_response response;
  response.version(11);
  response.result(static_cast<unsigned>(row.http_status));
  // A status that the library does not know, such as 499, has no reason phrase.
  if (response.result() == http::status::unknown) response.reason("Refused");
  response.set(http::field::content_type, "application/json");
  response.set(kRunHeader, ToBeast(base::ToText(run)));
  if (row.retry_after.count() > 0) {
    response.set(http::field::retry_after,
                 std::to_string(row.retry_after.count()));
  }
  const nlohmann::json body = {
      {"error", row.name}, {"detail", detail}, {"run", base::ToText(run)}};
  response.body() =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  response.prepare_payload();
  return response;
}

std::optional<http_response> RefusalForReadError(
    const boost::system::error_code& error) {
  if (error == http::error::header_limit) {
    http_response refusal = MakeRefusal(base::error_kind::kTooLarge,
                                        "the request's headers are too large");
    refusal.result(http::status::request_header_fields_too_large);
    return refusal;
  }
  if (error == http::error::body_limit) {
    return MakeRefusal(base::error_kind::kTooLarge,
                       "the request's body is too large");
  }
  const bool is_http_error =
      error.category() == make_error_code(http::error::bad_method).category();
  const bool is_end = error == http::error::end_of_stream ||
                      error == http::error::partial_message;
  if (!is_http_error || is_end) return std::nullopt;
  return MakeRefusal(base::error_kind::kBadRequest,
                     "the request is malformed: " + error.message());
}

void StripDisallowedBody(bool is_head_request, http_response& response) {
  const unsigned status = response.result_int();
  if (status == 204 || status == 304) {
    response.body().clear();
    response.erase(http::field::content_length);
  } else if (is_head_request) {
    response.body().clear();
  }
}

}  // namespace fireflyspar::backend_servers
