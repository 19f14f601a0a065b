// The closed list of error kinds, and a table that maps each kind to its name,
// HTTP status and exit code. Every failure in the system has one of these
// kinds, so the response to callers, operators and scripts is defined in one
// place.
#ifndef FIREFLYSPAR_BASE_ERROR_H_
#define FIREFLYSPAR_BASE_ERROR_H_

#include <chrono>
#include <span>
#include <string_view>
#include <system_error>

namespace fireflyspar::base {

enum class error_kind {
  kBadRequest = 1,          // The caller's request is malformed.
  kNoSuchRoute,             // No matching route is visible to the caller.
  kUnknownKey,              // No organisation has the request's key.
  kCallerOverLimit,         // The caller exceeded its own limit.
  kServiceOverLimit,        // The service's limit is exceeded.
  kNoServer,                // No usable backend server for the chosen service.
  kShed,                    // The gate or the backend server shed the request.
  kDraining,                // The backend server or the node is draining.
  kDeadlinePassed,          // The deadline passed before the request was run.
  kCancelled,               // The caller disconnected.
  kOutcomeUnknown,          // The request may have run; the response was lost.
  kDuplicateRequest,        // A non-repeatable request's id was already used.
  kClaimHolderUnavailable,  // A node with the request's claim is unavailable.
  kRequestExpired,          // The request's id is older than the stored claims.
  kNotReady,                // The node has no configuration yet.
  kServerFailed,            // The backend server aborted a repeatable request.
  kTooLarge,                // A value is over its size limit.
  kNotFound,                // The named object does not exist.
  kConflict,                // Another operator's change was written first.
  kBadPreset,               // A preset has errors, which are listed separately.
  kBadSettings,             // A flag or environment variable has a bad value.
  kUnsupportedSchema,       // This program cannot read the schema version.
  kMalformedMessage,        // A message between processes cannot be decoded.
  kPlatformUnavailable,     // The platform refused, hung or is unreachable.
  kPlatformOverRate,        // The platform's rate limit was exceeded.
  kHistoryGone,             // The requested changes are no longer stored.
  kResponseLost,            // A write's response was lost; it may have applied.
  kPeerUnavailable,         // Another node could not be reached.
  kTimedOut,                // The awaited condition did not occur in time.
  kRolledBack,              // A move was rolled back.
  kInternal,                // A bug in this program.
};

// Whether a backend server ran the request that failed with this error.
enum class run_state { kNotApplicable, kNotRun, kUnknown };

// One row of the error table.
struct error_info {
  error_kind kind;
  std::string_view name;             // Stable, in snake case; sent to callers.
  int http_status;                   // Sent to callers and operators.
  std::chrono::seconds retry_after;  // Retry-After header; zero: not sent.
  run_state state;
  int exit_code;  // Exit code of the command line.
};

// Returns the table: one row for each kind, in the order of error_kind.
std::span<const error_info> ErrorTable();

// Returns the row of `kind`, or that of kInternal for an unknown value.
const error_info& ErrorInfoFor(error_kind kind);

// Returns the text that callers receive: "not-run", "unknown" or "".
std::string_view ToText(run_state state);

const std::error_category& ErrorCategory();

std::error_code make_error_code(error_kind kind);

}  // namespace fireflyspar::base

template <>
struct std::is_error_code_enum<fireflyspar::base::error_kind> : std::true_type {
};

#endif  // FIREFLYSPAR_BASE_ERROR_H_
