// The HTTP server on a node's operators' port. It serves status, metrics,
// health and drain, and receives the announcements of the backend server on the
// node's instance. Handlers are plain functions from a request body to a
// response, so that they can be tested without a socket.
#ifndef FIREFLYSPAR_OPERATORS_HTTP_SERVER_H_
#define FIREFLYSPAR_OPERATORS_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/address.h"
#include "base/result.h"

namespace fireflyspar::operators {

struct handler_response {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

// Returns the HTTP response for `failure`, with the status and name that the
// table of error kinds lists for its kind.
handler_response ErrorResponse(const base::failure& failure);

struct http_handler {
  std::string_view method;  // "GET" or "POST".
  std::string_view path;    // The whole path, such as "/status".
  std::function<handler_response(const std::string& body)> run;
};

struct http_server_options {
  base::address listen_address;
  std::size_t max_body_bytes = 65536;
  std::vector<http_handler> handlers;
};

class http_server {
 public:
  explicit http_server(http_server_options options);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // Binds the address and starts to serve requests.
  base::status Start();

  // Stops listening, lets what is being answered be answered, and closes all
  // connections. No handler runs afterwards.
  void Stop();

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_HTTP_SERVER_H_
