// Implements the platform's object API over HTTP and JSON, in the form that
// such services commonly have:
//
//   GET    /objects/KEY                  {"key","version","value"}, 404
//   PUT    /objects/KEY  If-Match: V     {"version"}, 409 {"version"}, 413
//   DELETE /objects/KEY  If-Match: V     {}, 404, 409 {"version"}
//   GET    /objects?prefix=P             {"objects":[...]}
//   GET    /watch?prefix=P&after=V&wait_ms=N   {"objects":[...]}
//
// The version 0 in If-Match means that the object must not exist; the status
// 429 means that the platform's rate limit is exceeded.
#ifndef FIREFLYSPAR_PLATFORM_HTTP_OBJECT_API_H_
#define FIREFLYSPAR_PLATFORM_HTTP_OBJECT_API_H_

#include <chrono>

#include "base/address.h"
#include "base/metrics.h"
#include "platform/call_rate_limiter.h"
#include "platform/object_api.h"

namespace fireflyspar::platform {

struct http_object_api_options {
  base::address platform_address;
  // Greatest duration of a call, from its start to the last byte of the
  // response. A watch may take this much longer than its wait.
  std::chrono::milliseconds timeout{2000};
  base::metrics* metrics = nullptr;  // Required.
  // Shared by all clients of the process; null: no limit in this process.
  call_rate_limiter* budget = nullptr;
};

// Returns an API object with its own HTTP client. Its calls may be made from
// any thread. Counts
// fireflyspar_platform_calls_total{call=...} and
// fireflyspar_control_bytes_total{seam="platform",direction=...}.
object_api MakeHttpObjectApi(const http_object_api_options& options);

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_PLATFORM_HTTP_OBJECT_API_H_
