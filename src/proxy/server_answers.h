// Tells what an answer of a backend server says of its request. "Not run" has
// to be true, since the caller may then repeat the request: only an answer that
// says so counts.
#ifndef FIREFLYSPAR_PROXY_SERVER_ANSWERS_H_
#define FIREFLYSPAR_PROXY_SERVER_ANSWERS_H_

#include "backend_servers/http.h"
#include "proxy/header_names.h"

namespace fireflyspar::proxy {

enum class answer_meaning {
  // The request ran; the answer is for its caller.
  kRan,
  // The server refused the request, which has not run.
  kRefused,
  // Another server than the one named in the request has the address. It has
  // not run the request.
  kMisdirected,
  // The request may have run, and the answer must not be passed on: to the
  // caller it would mean something else.
  kUnclear,
};

answer_meaning MeaningOf(const backend_servers::http_response& answer,
                         const header_names& names, bool is_idempotent);

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_SERVER_ANSWERS_H_
