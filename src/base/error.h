// The one closed list of error kinds and the table from kind to answer. Every
// failure in the system is one of these kinds, so that what a caller, an
// operator and a script are told about it is decided in a single place.
#ifndef FIREFLYSPAR_BASE_ERROR_H_
#define FIREFLYSPAR_BASE_ERROR_H_

#include <chrono>
#include <span>
#include <string_view>
#include <system_error>

namespace fireflyspar::base {

enum class error_kind {
  kBadRequest = 1,       // The caller's request is malformed.
  kNoSuchRoute,          // No route matches, or none that the caller may see.
  kCallerOverLimit,      // The caller is over its own limit.
  kServiceOverLimit,     // The service is over its limit.
  kNoServer,             // No backend server of the chosen service is usable.
  kShed,                 // The gate or the backend server shed the request.
  kDraining,             // The backend server is leaving.
  kDeadlinePassed,       // The deadline passed before the request was run.
  kCancelled,            // The caller went away.
  kOutcomeUnknown,       // The request may have run; its answer is lost.
  kDuplicateRequest,     // A request that may not be repeated was seen before.
  kKeeperUnavailable,    // A node that keeps the request's claim is away.
  kRequestExpired,       // The request's id is older than what is remembered.
  kNotReady,             // The node has no configuration yet.
  kServerFailed,         // The backend server broke off a repeatable request.
  kTooLarge,             // A value is over its size limit.
  kNotFound,             // The named object does not exist.
  kConflict,             // Another operator's change won.
  kBadPreset,            // A preset has faults; they are listed beside this.
  kBadSettings,          // A flag or environment variable has a bad value.
  kUnsupportedSchema,    // A schema version this program does not read.
  kMalformedMessage,     // A message between processes does not decode.
  kPlatformUnavailable,  // The platform refused, hung or is cut off.
  kPlatformOverRate,     // The platform's rate limit was hit.
  kHistoryGone,          // The changes asked for are not kept any more.
  kAnswerLost,           // A write's answer was lost; it may have taken effect.
  kPeerUnavailable,      // Another node could not be reached.
  kTimedOut,             // What was waited for did not come in time.
  kTakenBack,            // A move ended by being taken back.
  kInternal,             // A bug of ours.
};

// Whether a request that got this answer was run by a backend server.
enum class run_state { kNotApplicable, kNotRun, kUnknown };

// One row of the answer table.
struct answer {
  error_kind kind;
  std::string_view name;             // Stable, in snake case; sent to callers.
  int http_status;                   // Towards callers and operators.
  std::chrono::seconds retry_after;  // Zero: no such header is sent.
  run_state state;
  int exit_code;  // Of the command line.
};

// The whole table, one row for each kind, in the order of the list.
std::span<const answer> AnswerTable();

// The row of `kind`.
const answer& AnswerFor(error_kind kind);

// The text sent to callers: "not-run", "unknown" or "".
std::string_view ToText(run_state state);

const std::error_category& ErrorCategory();

std::error_code make_error_code(error_kind kind);

}  // namespace fireflyspar::base

template <>
struct std::is_error_code_enum<fireflyspar::base::error_kind> : std::true_type {
};

#endif  // FIREFLYSPAR_BASE_ERROR_H_
