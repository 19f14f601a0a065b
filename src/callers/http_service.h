// An HTTP/1.1 listener that has worker threads of its own, for servers beside
// the call path. It can be stopped at any moment, also while clients call it.
#ifndef FIREFLYSPAR_CALLERS_HTTP_SERVICE_H_
#define FIREFLYSPAR_CALLERS_HTTP_SERVICE_H_

#include <chrono>
#include <memory>

#include "callers/http_listener.h"

namespace fireflyspar::callers {

struct http_service_options {
  int workers = 1;
  http_listener_options listener;
  // Time that Stop gives the requests that are being handled or answered.
  std::chrono::milliseconds stop_limit{2'000};
};

class http_service {
 public:
  explicit http_service(http_service_options options);
  ~http_service();

  base::status Start();

  // Stops accepting connections, waits until no request is being handled or
  // answered, for the stop limit at most, and closes all connections. No
  // handler runs afterwards.
  void Stop();

  // Returns the address that the listener is bound to. Not to be called after
  // Stop.
  base::address Address() const;

 private:
  // The listener with its threads and connections.
  struct running_service;

  std::chrono::milliseconds stop_limit_;
  std::unique_ptr<running_service> running_;
};

}  // namespace fireflyspar::callers

#endif  // FIREFLYSPAR_CALLERS_HTTP_SERVICE_H_
