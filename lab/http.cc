#include "lab/http.h"

#include <cpprest/http_client.h>

#include <exception>

namespace fireflyspar::lab {

base::result<http_reply> Request(const http_call& call) {
  try {
    web::http::client::http_client_config config;
    config.set_timeout(call.timeout);
    web::http::client::http_client client("http://" + call.target.ToText(),
                                          config);
    web::http::http_request request(call.method);
    request.set_request_uri(call.path);
    for (const auto& [name, value] : call.headers) {
      request.headers().add(name, value);
    }
    if (!call.body.empty()) request.set_body(call.body);
    web::http::http_response response = client.request(request).get();
    http_reply reply{.status = response.status_code()};
    for (const auto& [name, value] : response.headers()) {
      reply.headers[name] = value;
    }
    reply.body = response.extract_string(true).get();
    return reply;
  } catch (const std::exception& error) {
    return base::Fail(base::error_kind::kPeerUnavailable,
                      call.method + " " + call.target.ToText() + call.path +
                          ": " + error.what());
  }
}

}  // namespace fireflyspar::lab
