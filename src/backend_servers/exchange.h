// Sends one request on a connection and reads its whole answer, or reports
// exactly why that failed. The result says whether the peer may have received
// the request, since only then may it have run.
#ifndef FIREFLYSPAR_BACKEND_SERVERS_EXCHANGE_H_
#define FIREFLYSPAR_BACKEND_SERVERS_EXCHANGE_H_

#include <chrono>
#include <functional>
#include <string>

#include "backend_servers/connection_pool.h"
#include "backend_servers/http.h"

namespace fireflyspar::backend_servers {

enum class exchange_outcome {
  kAnswered,   // The whole answer was read.
  kBroken,     // Connection refused or reset; answer cut short or malformed.
  kTimedOut,   // The deadline passed.
  kCancelled,  // The caller went away.
};

struct exchange_result {
  exchange_outcome end = exchange_outcome::kBroken;
  bool sent = false;  // Whether the peer may have received the request.
  http_response answer;
  std::string detail;  // The reason of a failure.
};

struct exchange_options {
  base::address to;
  std::chrono::steady_clock::time_point deadline;
  std::chrono::milliseconds connect_timeout{1000};
  // A pooled connection that has been idle for longer is not used.
  std::chrono::milliseconds max_idle = connection_pool::kMaxIdle;
  // The connection ends when sent bytes are not acknowledged within this time,
  // or when the peer does not answer TCP keep-alive probes. Zero: the system's
  // defaults, which take minutes.
  std::chrono::milliseconds dead_peer_timeout{0};
  // The most that the operating system holds unread for the connection, or
  // about; it may take twice as much for its records. Zero: as it chooses.
  int receive_buffer_bytes = 0;
  // Called right before the first byte is written, since the process may have
  // been paused after it decided to send. Nothing is sent if it returns false.
  // Empty: always true.
  std::function<bool()> may_send;
  // The answer must carry the same kExchangeHeader as the request.
  bool check_exchange_id = false;
  // Name of a header that the peer copies from a request to its answer. An
  // answer with another value belongs to an earlier request and is skipped. One
  // without it ends an exchange on a used connection, since nobody can tell
  // whose it is. No connection carries two requests with the same value, or any
  // beside one without the header. Empty: not checked.
  std::string correlation_header;
  // Accepts an answer that has no length and ends when the peer closes the
  // connection.
  bool accepts_close_delimited = false;
  // Sends the head alone, and the body once the peer has answered "100
  // Continue". The peer acts on whole requests only, so a request whose body
  // was not sent to its last byte counts as not sent.
  bool body_after_continue = false;
  // Time limit for the "100 Continue". Zero: only `deadline` applies.
  std::chrono::milliseconds continue_timeout{0};
};

// Returns whether a connection to the address can be made within `timeout`.
net::awaitable<bool> CanConnect(net::any_io_executor executor, base::address to,
                                std::chrono::milliseconds timeout);

// Sends `request` on a pooled or a new connection and reads its answer. Returns
// the connection to the pool when it can be used again.
net::awaitable<exchange_result> Exchange(connection_pool& pool,
                                         const exchange_options& options,
                                         http_request& request,
                                         cancellation& cancel);

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_EXCHANGE_H_
