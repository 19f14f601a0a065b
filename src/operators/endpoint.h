// The HTTP server on a node's operators' port, built on cpprestsdk. It serves
// status, metrics, health and drain, and receives the announcements of the
// backend server on the node's instance. Handlers are plain functions from a
// request body to a response, so that they can be tested without a socket.
#ifndef FIREFLYSPAR_OPERATORS_ENDPOINT_H_
#define FIREFLYSPAR_OPERATORS_ENDPOINT_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/address.h"
#include "base/result.h"

namespace fireflyspar::operators {

struct endpoint_answer {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

// Returns the HTTP response for `failure`, with the status and name that the
// table of error kinds lists for its kind.
endpoint_answer AnswerTo(const base::failure& failure);

struct endpoint_handler {
  std::string_view method;  // "GET" or "POST".
  std::string_view path;    // The whole path, such as "/status".
  std::function<endpoint_answer(const std::string& body)> run;
};

// Sets the size of cpprestsdk's thread pool, which the whole process shares and
// which has 40 threads by default. Must be called before anything else uses the
// library.
void SetPoolThreads(int threads);

struct endpoint_options {
  base::address listen_address;
  std::size_t max_body_bytes = 65536;
  std::vector<endpoint_handler> handlers;
};

class endpoint {
 public:
  explicit endpoint(endpoint_options options);
  ~endpoint();
  endpoint(const endpoint&) = delete;
  endpoint& operator=(const endpoint&) = delete;

  // Binds the address and starts to serve requests.
  base::status Start();

  // Stops listening and waits until no handler is running.
  void Stop();

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_ENDPOINT_H_
