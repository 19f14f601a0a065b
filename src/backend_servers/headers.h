// The names of the headers that the system adds to calls. Callers outside may
// send only those marked so; the others are dropped from their requests.
#ifndef FIREFLYSPAR_BACKEND_SERVERS_HEADERS_H_
#define FIREFLYSPAR_BACKEND_SERVERS_HEADERS_H_

namespace fireflyspar::backend_servers {

inline constexpr char kHeaderPrefix[] = "fireflyspar-";

// From callers, inside and outside: milliseconds that the caller will wait, and
// the id of a request that may not be repeated.
inline constexpr char kDeadlineHeader[] = "fireflyspar-deadline-ms";
inline constexpr char kIdempotencyHeader[] = "Idempotency-Key";

// From callers inside: who calls, and how much of the retry budget the calls
// above this one have used.
inline constexpr char kCallerHeader[] = "fireflyspar-caller";
inline constexpr char kAttemptHeader[] = "fireflyspar-attempt";

// To backend servers and between nodes.
inline constexpr char kRequestIdHeader[] = "fireflyspar-request-id";
inline constexpr char kServiceHeader[] = "fireflyspar-service";
inline constexpr char kVersionHeader[] = "fireflyspar-version";
inline constexpr char kRouteHeader[] = "fireflyspar-route";

// Between nodes: ties an answer to its request.
inline constexpr char kExchangeHeader[] = "fireflyspar-exchange";

// Between nodes: asks the home of a request id to run the request, and its
// guard to hold the id for the home named there.
inline constexpr char kHomeHeader[] = "fireflyspar-home";
inline constexpr char kGuardHeader[] = "fireflyspar-guard";

// On the gate's answers: requests running and waiting there, and the kind of a
// refusal of the gate's own.
inline constexpr char kBusyHeader[] = "fireflyspar-busy";
inline constexpr char kRefusalHeader[] = "fireflyspar-refusal";

// On answers to callers: "not-run" or "unknown". A backend server that refuses
// a request before running it says "not-run" here too.
inline constexpr char kRunHeader[] = "fireflyspar-run";

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_HEADERS_H_
