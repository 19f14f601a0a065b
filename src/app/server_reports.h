// Answers the messages in which the backend server on this instance reports its
// state. The answer to a server that leaves waits for the store, for a while:
// it is a promise that the next process on this instance has to keep as well.
#ifndef FIREFLYSPAR_APP_SERVER_REPORTS_H_
#define FIREFLYSPAR_APP_SERVER_REPORTS_H_

#include "app/entry_publisher.h"
#include "app/platform_adapter.h"
#include "base/event_log.h"
#include "proxy/gate.h"
#include "proxy/listener.h"

namespace fireflyspar::app {

struct server_reports_options {
  const platform_adapter* adapter = nullptr;
  base::event_log* log = nullptr;
  proxy::gate* gate = nullptr;
  const entry_publisher* publisher = nullptr;
};

class server_reports {
 public:
  explicit server_reports(const server_reports_options& options)
      : options_(options) {}

  net::awaitable<backend_servers::http_response> Serve(
      proxy::served_call& call);

 private:
  void Apply(const server_message& message);
  backend_servers::http_response EmptyAnswer(
      backend_servers::http::status status) const;

  server_reports_options options_;
};

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_SERVER_REPORTS_H_
