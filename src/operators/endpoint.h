// The operators' port of a node: a small HTTP listener, by cpprestsdk, for
// status, metrics, health and drain, and for the announcements of the backend
// server beside the node. Handlers are plain functions from a request's body to
// an answer, so that they can be tested without a socket.
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

// The answer that the table of error kinds gives for `failure`.
endpoint_answer AnswerTo(const base::failure& failure);

struct endpoint_handler {
  std::string_view method;  // "GET" or "POST".
  std::string_view path;    // The whole path, as in "/status".
  std::function<endpoint_answer(const std::string& body)> run;
};

// Sets the size of cpprestsdk's pool of threads, which the whole process
// shares; to be called before anything else uses that library, whose own
// default is 40.
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

  // Binds the address and begins to answer.
  base::status Start();

  // Stops listening; returns when no handler runs any more.
  void Stop();

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_ENDPOINT_H_
