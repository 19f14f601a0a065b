// The names of the headers that the system adds to calls. Callers outside may
// send only those marked as theirs; the others are dropped from their requests.
#ifndef FIREFLYSPAR_BACKEND_SERVERS_HEADERS_H_
#define FIREFLYSPAR_BACKEND_SERVERS_HEADERS_H_

namespace fireflyspar::backend_servers {

inline constexpr char kHeaderPrefix[] = "fireflyspar-";

// From callers, inside and outside: how many milliseconds the caller will wait,
// and the id of a request that must not be repeated.
inline constexpr char kDeadlineHeader[] = "fireflyspar-deadline-ms";
inline constexpr char kIdempotencyHeader[] = "Idempotency-Key";

// From callers inside: the caller's name, and a mark on requests that are
// retries or that the caller makes while it handles a retry.
inline constexpr char kCallerHeader[] = "fireflyspar-caller";
inline constexpr char kAttemptHeader[] = "fireflyspar-attempt";

// To backend servers and between nodes.
inline constexpr char kRequestIdHeader[] = "fireflyspar-request-id";
inline constexpr char kServiceHeader[] = "fireflyspar-service";
inline constexpr char kVersionHeader[] = "fireflyspar-version";
inline constexpr char kRouteHeader[] = "fireflyspar-route";

// Between nodes: an id that matches an answer to its request.
inline constexpr char kExchangeHeader[] = "fireflyspar-exchange";

// Between nodes: the first names a request id and asks its home to run the
// request; the second names a home and asks the guard to claim the id for it.
inline constexpr char kHomeHeader[] = "fireflyspar-home";
inline constexpr char kGuardHeader[] = "fireflyspar-guard";

// On answers of the gate: the number of requests running and waiting there, and
// the kind of refusal when the answer is not the backend server's.
inline constexpr char kGateLoadHeader[] = "fireflyspar-busy";
inline constexpr char kRefusalHeader[] = "fireflyspar-refusal";

// On refusals to callers: "not-run" or "unknown". A backend server that refuses
// a request before running it sends "not-run" in this header, too.
inline constexpr char kRunHeader[] = "fireflyspar-run";

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_HEADERS_H_
