// What a router and a gate tell each other about a request, beside the request
// and its answer themselves, and its form as headers between two proxies. The
// values are lists of words parted by spaces; "-" stands for an empty word.
#ifndef FIREFLYSPAR_PROXY_GATE_MESSAGES_H_
#define FIREFLYSPAR_PROXY_GATE_MESSAGES_H_

#include <optional>
#include <string>
#include <string_view>

#include "backend_servers/http.h"
#include "base/error.h"
#include "base/hooks.h"
#include "decisions/gate_choice.h"
#include "decisions/version_trial.h"

namespace fireflyspar::proxy {

namespace net = boost::asio;

// A request that a router offers to a gate.
struct call_offer {
  std::string service;
  std::string version;  // The only version that may run it.
  std::string route;
  std::string caller_service;
  bool is_idempotent = false;
  bool is_call = false;  // A backend server waits for it.
  int rank = 0;
  // For a free slot, where another gate may have one; longer: refuse it.
  base::duration wait_limit{};
  base::duration left{};  // Until nobody waits any more.
  base::duration
      objective_left{};      // Until the answer is late; may be negative.
  base::duration typical{};  // Time at a typical server.

  bool operator==(const call_offer&) const = default;
};

std::string ToText(const call_offer& offer);
std::optional<call_offer> ParseOffer(std::string_view text);

// What a gate tells of its server with each answer.
struct gate_status {
  decisions::gate_report load;
  std::string server_id;
  std::string version;
  decisions::run_counts counts;  // On the request's route.
  base::duration took{};         // This request's time at the server.
};

std::string ToText(const gate_status& status);
std::optional<gate_status> ParseStatus(std::string_view text);

enum class gate_end {
  kAnswered,   // By the backend server; the answer may be a failure.
  kNotRun,     // Certain not to have run, then or later.
  kUnknown,    // It may have run; there is no answer.
  kCancelled,  // The caller went away.
};

// What came of an offer.
struct gate_outcome {
  gate_end end = gate_end::kNotRun;
  backend_servers::http_response answer;              // For kAnswered.
  base::error_kind reason = base::error_kind::kShed;  // Otherwise.
  base::duration wait{};  // For kNotRun: until a slot may be free.
  std::string detail;
  bool is_unreachable = false;  // No gate was reached.
  // For kNotRun: the backend server itself refused it, so that offering it
  // again is a repeat in the server's eyes.
  bool has_reached_server = false;
  std::optional<gate_status> status;
};

gate_outcome NotRun(base::error_kind reason, std::string detail);
gate_outcome Cancelled();
gate_outcome Unknown(base::error_kind reason, std::string detail);

// Headers between proxies; never passed on to callers or backend servers.
inline constexpr char kOfferHeader[] = "fireflyspar-offer";
inline constexpr char kStatusHeader[] = "fireflyspar-gate";
inline constexpr char kOutcomeHeader[] = "fireflyspar-outcome";

// An outcome as a message to another proxy, and back.
backend_servers::http_response ToMessage(gate_outcome outcome);
gate_outcome FromMessage(backend_servers::http_response message);

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_GATE_MESSAGES_H_
