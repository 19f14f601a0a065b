// One request sent on a connection and its whole answer read, or the exact
// reason why not. The reason says whether a byte of the request can have
// reached the peer, since only then may it have run.
#ifndef FIREFLYSPAR_BACKEND_SERVERS_EXCHANGE_H_
#define FIREFLYSPAR_BACKEND_SERVERS_EXCHANGE_H_

#include <chrono>
#include <functional>
#include <string>

#include "backend_servers/connection_pool.h"
#include "backend_servers/http.h"

namespace fireflyspar::backend_servers {

enum class exchange_end {
  kAnswered,   // The answer is whole.
  kBroken,     // Refused, reset, cut short or malformed.
  kTimedOut,   // The deadline passed.
  kCancelled,  // The caller went away.
};

struct exchange_result {
  exchange_end end = exchange_end::kBroken;
  bool sent = false;  // The peer can have taken the request for whole.
  http_response answer;
  std::string detail;  // Of what went wrong.
};

struct exchange_options {
  base::address to;
  std::chrono::steady_clock::time_point deadline;
  std::chrono::milliseconds connect_timeout{1000};
  // A kept connection is used only when it has been idle for no longer.
  std::chrono::milliseconds max_idle = connection_pool::kMaxIdle;
  // Bytes in flight that are not acknowledged for so long end the connection;
  // so does a peer that is silent to keep-alive probes. Zero: the system's
  // usual minutes.
  std::chrono::milliseconds dead_peer_timeout{0};
  // Asked right before the first byte is written, since a process may have
  // been paused after it decided to send. Empty: always true.
  std::function<bool()> may_send;
  // The answer must carry the same kExchangeHeader as the request.
  bool check_exchange_id = false;
  // A header that answers echo. Answers with another value belong to an earlier
  // request and are passed over. Empty: not looked at.
  std::string echoed_header;
  // Takes an answer that has no length and ends with its connection.
  bool takes_unframed = false;
  // Sends the head alone, and the body once the peer has answered "100
  // Continue"; a peer that ends the exchange before has not got the request.
  bool body_after_continue = false;
  // How long the "100 Continue" may take.
  std::chrono::milliseconds continue_timeout{0};
};

// Whether a connection to the address can be made within the time.
net::awaitable<bool> CanConnect(net::any_io_executor executor, base::address to,
                                std::chrono::milliseconds timeout);

net::awaitable<exchange_result> Exchange(connection_pool& pool,
                                         const exchange_options& options,
                                         http_request& request,
                                         cancellation& cancel);

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_EXCHANGE_H_
