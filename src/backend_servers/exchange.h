// One request sent on a connection and its whole answer read, or the exact
// reason why not. The reason says whether a byte of the request can have
// reached the peer, since only then may it have run.
#ifndef FIREFLYSPAR_BACKEND_SERVERS_EXCHANGE_H_
#define FIREFLYSPAR_BACKEND_SERVERS_EXCHANGE_H_

#include <chrono>
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
  bool sent = false;  // A byte of the request can have reached the peer.
  http_response answer;
  std::string detail;  // Of what went wrong.
};

struct exchange_options {
  base::address to;
  std::chrono::steady_clock::time_point deadline;
  // Asked right before the first byte is written, since a process may have
  // been paused after it decided to send. Empty: always true.
  std::function<bool()> may_send;
  // The answer must carry the same kExchangeHeader as the request.
  bool check_exchange_id = false;
};

net::awaitable<exchange_result> Exchange(connection_pool& pool,
                                         const exchange_options& options,
                                         http_request& request,
                                         cancellation& cancel);

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_EXCHANGE_H_
