// Tells the calls that the backend server on this instance makes while it runs
// a request from the requests of callers. Both come to the same address, and
// calls carry no key. The id of a call is that of the request that it is made
// for, followed by a dot and a suffix; so a caller can't pass off a request as
// a call unless the server may be working on the request that it names.
#ifndef FIREFLYSPAR_PROXY_NESTED_CALLS_H_
#define FIREFLYSPAR_PROXY_NESTED_CALLS_H_

#include <string_view>

#include "base/hooks.h"
#include "config/mesh_configuration.h"
#include "proxy/server_runs.h"

namespace fireflyspar::proxy {

enum class request_origin {
  kCaller,
  kServer,  // A call of the server on this instance.
  // Perhaps a call for a request that the server has run since before this
  // process started. Requests have ended by their routes' timeouts.
  kUnclear,
};

class nested_calls {
 public:
  // `runs` must outlive this object. `started`: when this process did.
  nested_calls(const server_runs* runs, base::steady_instant started)
      : runs_(runs), started_(started) {}

  // Must be called when another configuration is in force.
  void SetConfiguration(const config::mesh_configuration& next);

  request_origin OriginOf(std::string_view request_id,
                          base::steady_instant now) const;

 private:
  const server_runs* runs_;
  base::steady_instant started_;
  base::duration longest_timeout_{};  // Of the routes so far.
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_NESTED_CALLS_H_
