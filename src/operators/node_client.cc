#include "operators/node_client.h"

#include "backend_servers/blocking_client.h"

namespace fireflyspar::operators {

base::result<std::string> CallNode(const node_request& request) {
  const std::string node = request.node.ToText();
  const auto unavailable = [&](const std::string& why) {
    return base::Fail(base::error_kind::kPeerUnavailable,
                      "node " + node + ": " + why);
  };
  backend_servers::http_request message;
  message.version(11);
  message.method_string(backend_servers::ToBeast(request.method));
  message.target(backend_servers::ToBeast(request.path));
  backend_servers::blocking_client client({});
  auto answer = client.Call({.to = request.node, .timeout = request.timeout},
                            std::move(message));
  if (answer.end != backend_servers::exchange_outcome::kAnswered) {
    return unavailable(answer.detail);
  }
  constexpr unsigned kOk = 200;
  if (answer.status == kOk) return std::move(answer.body);
  return unavailable("responded with status " + std::to_string(answer.status) +
                     " " + answer.body);
}

}  // namespace fireflyspar::operators
