// Offers a request to the gate of another instance, over HTTP.
#ifndef FIREFLYSPAR_PROXY_GATE_CLIENT_H_
#define FIREFLYSPAR_PROXY_GATE_CLIENT_H_

#include "backend_servers/connection_pool.h"
#include "base/address.h"
#include "proxy/gate_messages.h"

namespace fireflyspar::proxy {

class gate_client {
 public:
  gate_client(const net::any_io_executor& executor,
              const backend_servers::answer_memory_options& answers)
      : pool_(executor, answers) {}

  // Offers the request; its outcome comes by `deadline` and a short time more.
  net::awaitable<gate_outcome> Offer(const base::address& gate,
                                     const call_offer& offer,
                                     backend_servers::http_request& request,
                                     base::steady_instant deadline,
                                     backend_servers::cancellation& cancel);

  // Closes the unused connections to a gate, which are broken when it could not
  // be reached.
  void CloseIdle(const base::address& gate) { pool_.CloseIdle(gate); }

 private:
  backend_servers::connection_pool pool_;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_GATE_CLIENT_H_
