// Turns the outcome of a request into the answer to its caller, and records it
// in the log and the metrics. A backend server's response is returned as it is.
// Without one, the answer is a refusal with a Retry-After time if the request
// has certainly not run, and "unknown" if it may have run.
#ifndef FIREFLYSPAR_PROXY_CALLER_ANSWERS_H_
#define FIREFLYSPAR_PROXY_CALLER_ANSWERS_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "base/event_log.h"
#include "base/metrics.h"
#include "config/mesh_configuration.h"
#include "proxy/gate_messages.h"
#include "proxy/header_names.h"

namespace fireflyspar::proxy {

// Retry-After time, in general, when nothing says how long a service will be
// without a server.
inline constexpr std::chrono::milliseconds kNoServerRetryAfter{300};

// What is known of a request at its end. Refers to the request's own state.
struct request_report {
  std::string_view request_id;
  const config::mesh_route* route = nullptr;
  std::string_view service;
  bool is_nested_call = false;
  base::steady_instant begun;
  // Instances that may have run the request.
  const std::set<std::string, std::less<>>* ran_on = nullptr;
  int refusals = 0;  // Offers in the last attempt that ended as "not run".
  // The shortest wait that a full gate estimated; zero: none.
  base::duration least_wait{};
  std::uint64_t version = 0;  // Of the configuration.
};

struct caller_answers_options {
  header_names headers;
  base::metrics* metrics = nullptr;
  base::event_log* log = nullptr;
};

class caller_answers {
 public:
  explicit caller_answers(caller_answers_options options)
      : options_(std::move(options)) {}

  backend_servers::http_response Answer(const request_report& report,
                                        gate_outcome outcome);

  // Refuses a request that was not offered to any gate. `version` is that of
  // the configuration in force; 0 if there is none. `wait` is the time after
  // which the caller may find room, if it is known.
  backend_servers::http_response Refuse(
      const backend_servers::http_request& request, base::error_kind reason,
      std::string_view detail, std::uint64_t version, base::duration wait = {});

 private:
  void CountAnswer(std::string_view result);
  void Record(const request_report& report, const gate_outcome& outcome,
              unsigned status);

  caller_answers_options options_;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_CALLER_ANSWERS_H_
