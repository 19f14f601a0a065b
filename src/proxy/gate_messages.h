// The metadata that a router and a gate exchange with a request and its
// response, and its encoding as HTTP headers between two proxies
// (proxy/header_words.h). Words that a peer of an older version does not send
// have defaults.
#ifndef FIREFLYSPAR_PROXY_GATE_MESSAGES_H_
#define FIREFLYSPAR_PROXY_GATE_MESSAGES_H_

#include <optional>
#include <string>
#include <string_view>

#include "backend_servers/http.h"
#include "base/error.h"
#include "base/hooks.h"
#include "decisions/crash_suspects.h"
#include "decisions/gate_choice.h"
#include "decisions/server_notices.h"
#include "decisions/trial_admission.h"
#include "decisions/version_rollout.h"
#include "proxy/shared_objects.h"

namespace fireflyspar::proxy {

namespace net = boost::asio;

// What a process knows that a server said of itself, and which start of the
// server said it.
struct told_notices {
  std::string server_id;
  std::int64_t start_ms = 0;
  decisions::server_notices said;

  bool operator==(const told_notices&) const = default;
};

// A request that a router offers to a gate.
struct call_offer {
  std::string service;
  std::string version;  // The only version that may run the request.
  std::string route;
  std::string caller_service;
  bool is_idempotent = false;
  bool is_nested_call = false;  // A backend server waits for the response.
  int priority = 0;
  // The longest wait for a free slot; the gate refuses the request rather than
  // let it wait longer, since another gate may have a free slot.
  base::duration wait_limit{};
  base::duration left{};  // Until the request's deadline.
  // Until the latency objective is missed; negative if it already is.
  base::duration time_to_objective{};
  // How long a request on this route typically takes at a server.
  base::duration typical_duration{};
  std::uint64_t body_bytes = 0;  // Length of the request's body.
  // What the router was told of the server behind the gate: a gate that has
  // just started knows less.
  std::optional<told_notices> told;
  // What the router knows of the request, if servers ended under it, and
  // whether it offers the request to this gate to be tried.
  std::optional<decisions::suspect> suspect;
  bool is_trial = false;
  // Whether the router of the same process makes the offer; not transmitted.
  bool is_local = false;

  bool operator==(const call_offer&) const = default;
};

std::string ToText(const call_offer& offer);
std::optional<call_offer> ParseOffer(std::string_view text);

// The state of a gate and its server, which the gate sends with each response.
struct gate_status {
  decisions::gate_report load;
  std::string server_id;
  std::string version;
  decisions::run_counts counts;  // Outcomes on the request's route.
  base::duration took{};         // This request's time at the server.
  shared_revisions held;         // What the gate's process holds of each kind.
  // What the server says of itself, if that is anything out of the ordinary.
  std::optional<told_notices> told;
};

std::string ToText(const gate_status& status);
std::optional<gate_status> ParseStatus(std::string_view text);

enum class gate_outcome_kind {
  kAnswered,   // The backend server responded, perhaps with an error.
  kNotRun,     // The request certainly has not run and will not run.
  kUnknown,    // The request may have run; there is no response.
  kCancelled,  // The caller disconnected.
};

// The result of an offer.
struct gate_outcome {
  gate_outcome_kind end = gate_outcome_kind::kNotRun;
  backend_servers::http_response answer;              // Only for kAnswered.
  base::error_kind reason = base::error_kind::kShed;  // Not for kAnswered.
  base::duration wait{};  // For kNotRun: expected time until a slot is free.
  std::string detail;
  bool is_unreachable = false;  // The gate could not be reached.
  // For kNotRun: the backend server itself refused the request, so the server
  // counts another offer of it as a retry.
  bool refused_by_server = false;
  std::optional<gate_status> status;
  // What the gate knows of the request, if servers ended under it.
  std::optional<decisions::suspect> suspect;
  decisions::suspect_refusal refusal = decisions::suspect_refusal::kNone;
};

inline constexpr unsigned kFirstServerErrorStatus = 500;

// Returns whether the backend server answered that it failed, other than by
// running out of the request's time.
bool IsServerError(const gate_outcome& outcome);

gate_outcome NotRun(base::error_kind reason, std::string detail);
gate_outcome Cancelled();
gate_outcome Unknown(base::error_kind reason, std::string detail);

// Headers between proxies; they are not forwarded to callers or backend
// servers.
inline constexpr char kOfferHeader[] = "fireflyspar-offer";
inline constexpr char kStatusHeader[] = "fireflyspar-gate";
inline constexpr char kOutcomeHeader[] = "fireflyspar-outcome";
inline constexpr char kSuspectHeader[] = "fireflyspar-suspect";
inline constexpr char kEvacuationsHeader[] = "fireflyspar-evacuations";
inline constexpr char kColdLimitHeader[] = "fireflyspar-cold-limit";

// Removes the headers between proxies from an answer: a backend server may
// have sent them as well.
void EraseGateHeaders(backend_servers::http_response& message);

// Convert an outcome to the HTTP response to another proxy, and back.
backend_servers::http_response ToMessage(gate_outcome outcome);
gate_outcome FromMessage(backend_servers::http_response message);

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_GATE_MESSAGES_H_
