// HTTP client for a node's operators' port.
#ifndef FIREFLYSPAR_OPERATORS_NODE_CLIENT_H_
#define FIREFLYSPAR_OPERATORS_NODE_CLIENT_H_

#include <chrono>
#include <string>
#include <string_view>

#include "base/address.h"
#include "base/result.h"

namespace fireflyspar::operators {

struct node_request {
  std::string_view method;  // "GET" or "POST".
  base::address node;
  std::string_view path;
  std::chrono::milliseconds timeout{2000};
};

// Returns the body of a response with status 200. Fails with kPeerUnavailable
// if the node can't be reached within the timeout or responds with another
// status.
base::result<std::string> CallNode(const node_request& request);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_NODE_CLIENT_H_
