// The names of the HTTP headers that the proxy shares with callers and backend
// servers. Each deployment chooses its own names, so they are settings.
#ifndef FIREFLYSPAR_PROXY_HEADER_NAMES_H_
#define FIREFLYSPAR_PROXY_HEADER_NAMES_H_

#include <string>

namespace fireflyspar::proxy {

struct header_names {
  // From callers, forwarded to backend servers and echoed in responses: the
  // request id.
  std::string request_id = "fireflyspar-request-id";
  // From callers: how long the caller waits. To backend servers: the time until
  // the request's deadline, which the route may set earlier. Both in whole
  // milliseconds.
  std::string deadline_ms = "fireflyspar-deadline-ms";
  // To backend servers: the service of the instance whose proxy received the
  // request from its caller.
  std::string caller_service = "fireflyspar-caller";
  // To backend servers: the id of the only server that may run the request.
  std::string expected_server = "fireflyspar-server";
  // In a backend server's responses: marks a request that was not run.
  std::string not_run = "fireflyspar-not-run";
  // In a backend server's responses: the requests a second that it takes from
  // all instances together, for as long as it says so.
  std::string request_limit = "fireflyspar-request-limit";
  // In a backend server's responses: marks a server that is leaving.
  std::string is_leaving = "fireflyspar-leaving";
  // To backend servers: the organisation that the request comes from.
  std::string organisation = "fireflyspar-organisation";
  // In the answers of a backend server's health path: its id, and how long it
  // stays cold, in whole milliseconds.
  std::string server_id = "fireflyspar-server-id";
  std::string cold_ms = "fireflyspar-cold-ms";
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_HEADER_NAMES_H_
