#include "base/error.h"

#include <algorithm>
#include <array>
#include <string>

namespace fireflyspar::base {
namespace {

using std::chrono::seconds;
using enum error_kind;
using enum run_state;

constexpr std::array kErrorTable = {
    error_info{kBadRequest, "bad_request", 400, seconds{0}, kNotRun, 2},
    error_info{kNoSuchRoute, "no_such_route", 404, seconds{0}, kNotRun, 1},
    error_info{kUnknownKey, "unknown_key", 401, seconds{0}, kNotRun, 1},
    error_info{kCallerOverLimit, "caller_over_limit", 429, seconds{1}, kNotRun,
               1},
    error_info{kServiceOverLimit, "service_over_limit", 429, seconds{1},
               kNotRun, 1},
    error_info{kNoServer, "no_server", 503, seconds{2}, kNotRun, 1},
    error_info{kShed, "shed", 503, seconds{1}, kNotRun, 1},
    error_info{kDraining, "draining", 503, seconds{1}, kNotRun, 1},
    error_info{kDeadlinePassed, "deadline_passed", 504, seconds{1}, kNotRun, 1},
    error_info{kCancelled, "cancelled", 499, seconds{0}, kUnknown, 1},
    error_info{kOutcomeUnknown, "outcome_unknown", 502, seconds{0}, kUnknown,
               1},
    error_info{kDuplicateRequest, "duplicate_request", 409, seconds{0},
               kUnknown, 1},
    error_info{kClaimHolderUnavailable, "keeper_unavailable", 503, seconds{2},
               kUnknown, 1},
    error_info{kRequestExpired, "request_expired", 410, seconds{0}, kUnknown,
               1},
    error_info{kNotReady, "not_ready", 503, seconds{1}, kNotRun, 1},
    error_info{kServerFailed, "server_failed", 502, seconds{1}, kUnknown, 1},
    error_info{kTooLarge, "too_large", 413, seconds{0}, kNotRun, 2},
    error_info{kNotFound, "not_found", 404, seconds{0}, kNotApplicable, 3},
    error_info{kConflict, "conflict", 409, seconds{0}, kNotApplicable, 4},
    error_info{kBadPreset, "bad_preset", 422, seconds{0}, kNotApplicable, 5},
    error_info{kBadSettings, "bad_settings", 400, seconds{0}, kNotApplicable,
               2},
    error_info{kUnsupportedSchema, "unsupported_schema", 422, seconds{0},
               kNotApplicable, 5},
    error_info{kMalformedMessage, "malformed_message", 400, seconds{0},
               kNotApplicable, 1},
    error_info{kPlatformUnavailable, "platform_unavailable", 503, seconds{2},
               kNotApplicable, 6},
    error_info{kPlatformOverRate, "platform_over_rate", 429, seconds{1},
               kNotApplicable, 6},
    error_info{kHistoryGone, "history_gone", 410, seconds{0}, kNotApplicable,
               6},
    error_info{kResponseLost, "answer_lost", 503, seconds{1}, kNotApplicable,
               7},
    error_info{kPeerUnavailable, "peer_unavailable", 503, seconds{1},
               kNotApplicable, 6},
    error_info{kTimedOut, "timed_out", 504, seconds{1}, kNotApplicable, 8},
    error_info{kRolledBack, "taken_back", 409, seconds{0}, kNotApplicable, 9},
    error_info{kInternal, "internal", 500, seconds{0}, kUnknown, 70},
};

class error_category : public std::error_category {
 public:
  const char* name() const noexcept override { return "fireflyspar"; }
  std::string message(int value) const override {
    return std::string(ErrorInfoFor(static_cast<error_kind>(value)).name);
  }
};

}  // namespace

std::span<const error_info> ErrorTable() { return kErrorTable; }

const error_info& ErrorInfoFor(error_kind kind) {
  const auto row = std::ranges::find(kErrorTable, kind, &error_info::kind);
  return row == kErrorTable.end() ? kErrorTable.back() : *row;
}

std::string_view ToText(run_state state) {
  switch (state) {
    case kNotRun:
      return "not-run";
    case kUnknown:
      return "unknown";
    case kNotApplicable:
      break;
  }
  return "";
}

const std::error_category& ErrorCategory() {
  static const error_category category;
  return category;
}

std::error_code make_error_code(error_kind kind) {
  return {static_cast<int>(kind), ErrorCategory()};
}

}  // namespace fireflyspar::base
