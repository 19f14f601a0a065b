// An HTTP/1.1 client whose calls wait for the answer, for code that has threads
// of its own. It takes for an answer what the proxies do.
#ifndef FIREFLYSPAR_BACKEND_SERVERS_BLOCKING_CLIENT_H_
#define FIREFLYSPAR_BACKEND_SERVERS_BLOCKING_CLIENT_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "backend_servers/connection_pool.h"
#include "backend_servers/exchange.h"

namespace fireflyspar::backend_servers {

struct blocking_call_options {
  base::address to;
  std::chrono::milliseconds timeout{2000};
  // Whether the call may be made again if a connection that was kept from an
  // earlier call breaks; otherwise it gets a new connection.
  bool is_idempotent = false;
};

struct blocking_answer {
  exchange_outcome end = exchange_outcome::kBroken;
  bool sent = false;  // Whether the peer may have received the request.
  unsigned status = 0;
  std::size_t head_bytes = 0;
  std::string body;
  std::string detail;  // The reason of a failure.
};

class blocking_client {
 public:
  explicit blocking_client(const answer_memory_options& answers);
  ~blocking_client();
  blocking_client(const blocking_client&) = delete;
  blocking_client& operator=(const blocking_client&) = delete;

  // Makes the call and waits for its end. May be called from any thread.
  blocking_answer Call(const blocking_call_options& options,
                       http_request request);

  // Ends all calls, now and later, as cancelled.
  void Interrupt();

 private:
  net::awaitable<blocking_answer> Run(blocking_call_options options,
                                      http_request request);
  net::awaitable<blocking_answer> RunOnce(
      const blocking_call_options& options, http_request& request,
      std::chrono::steady_clock::time_point deadline,
      std::chrono::milliseconds max_idle);

  net::io_context loop_{1};
  net::executor_work_guard<net::io_context::executor_type> work_;
  // The members below are used on the loop's thread only.
  connection_pool pool_;
  std::set<cancellation*> calls_;
  bool is_interrupted_ = false;

  std::thread thread_;
};

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_BLOCKING_CLIENT_H_
