#include "operators/node_client.h"

#include <cpprest/http_client.h>

namespace fireflyspar::operators {

base::result<std::string> CallNode(const node_request& request) {
  const std::string node = request.node.ToText();
  const auto unavailable = [&](const std::string& why) {
    return base::Fail(base::error_kind::kPeerUnavailable,
                      "node " + node + ": " + why);
  };
  try {
    web::http::client::http_client_config config;
    config.set_timeout(request.timeout);
    web::http::client::http_client client("http://" + node, config);
    const web::http::http_response answer =
        client.request(std::string(request.method), std::string(request.path))
            .get();
    std::string body = answer.extract_utf8string(true).get();
    if (answer.status_code() == web::http::status_codes::OK) return body;
    return unavailable("responded with status " +
                       std::to_string(answer.status_code()) + " " + body);
  } catch (const std::exception& error) {
    return unavailable(error.what());
  }
}

}  // namespace fireflyspar::operators
