// The names of the headers that callers and backend servers use. They are the
// deployment's to choose, so the proxy is told them.
#ifndef FIREFLYSPAR_PROXY_HEADER_NAMES_H_
#define FIREFLYSPAR_PROXY_HEADER_NAMES_H_

#include <string>

namespace fireflyspar::proxy {

struct header_names {
  // From callers and on to backend servers; echoed in answers.
  std::string request_id = "fireflyspar-request-id";
  // How long the caller waits, in whole milliseconds.
  std::string deadline_ms = "fireflyspar-deadline-ms";
  // To backend servers: the service beside which the request began.
  std::string caller_service = "fireflyspar-caller";
  // To backend servers: the id of the only server that may run the request.
  std::string expected_server = "fireflyspar-server";
  // In a backend server's answers: the request was not run.
  std::string not_run = "fireflyspar-not-run";
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_HEADER_NAMES_H_
