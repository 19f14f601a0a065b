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
    answer{kBadRequest, "bad_request", 400, seconds{0}, kNotRun, 2},
    answer{kNoSuchRoute, "no_such_route", 404, seconds{0}, kNotRun, 1},
    answer{kCallerOverLimit, "caller_over_limit", 429, seconds{1}, kNotRun, 1},
    answer{kServiceOverLimit, "service_over_limit", 429, seconds{1}, kNotRun,
           1},
    answer{kNoServer, "no_server", 503, seconds{2}, kNotRun, 1},
    answer{kShed, "shed", 503, seconds{1}, kNotRun, 1},
    answer{kDraining, "draining", 503, seconds{1}, kNotRun, 1},
    answer{kDeadlinePassed, "deadline_passed", 504, seconds{1}, kNotRun, 1},
    answer{kCancelled, "cancelled", 499, seconds{0}, kUnknown, 1},
    answer{kOutcomeUnknown, "outcome_unknown", 502, seconds{0}, kUnknown, 1},
    answer{kDuplicateRequest, "duplicate_request", 409, seconds{0}, kUnknown,
           1},
    answer{kClaimHolderUnavailable, "keeper_unavailable", 503, seconds{2},
           kUnknown, 1},
    answer{kRequestExpired, "request_expired", 410, seconds{0}, kUnknown, 1},
    answer{kNotReady, "not_ready", 503, seconds{1}, kNotRun, 1},
    answer{kServerFailed, "server_failed", 502, seconds{1}, kUnknown, 1},
    answer{kTooLarge, "too_large", 413, seconds{0}, kNotRun, 2},
    answer{kNotFound, "not_found", 404, seconds{0}, kNotApplicable, 3},
    answer{kConflict, "conflict", 409, seconds{0}, kNotApplicable, 4},
    answer{kBadPreset, "bad_preset", 422, seconds{0}, kNotApplicable, 5},
    answer{kBadSettings, "bad_settings", 400, seconds{0}, kNotApplicable, 2},
    answer{kUnsupportedSchema, "unsupported_schema", 422, seconds{0},
           kNotApplicable, 5},
    answer{kMalformedMessage, "malformed_message", 400, seconds{0},
           kNotApplicable, 1},
    answer{kPlatformUnavailable, "platform_unavailable", 503, seconds{2},
           kNotApplicable, 6},
    answer{kPlatformOverRate, "platform_over_rate", 429, seconds{1},
           kNotApplicable, 6},
    answer{kHistoryGone, "history_gone", 410, seconds{0}, kNotApplicable, 6},
    answer{kResponseLost, "answer_lost", 503, seconds{1}, kNotApplicable, 7},
    answer{kPeerUnavailable, "peer_unavailable", 503, seconds{1},
           kNotApplicable, 6},
    answer{kTimedOut, "timed_out", 504, seconds{1}, kNotApplicable, 8},
    answer{kRolledBack, "taken_back", 409, seconds{0}, kNotApplicable, 9},
    answer{kInternal, "internal", 500, seconds{0}, kUnknown, 70},
};

class error_category : public std::error_category {
 public:
  const char* name() const noexcept override { return "fireflyspar"; }
  std::string message(int value) const override {
    return std::string(ErrorInfoFor(static_cast<error_kind>(value)).name);
  }
};

}  // namespace

std::span<const answer> ErrorTable() { return kErrorTable; }

const answer& ErrorInfoFor(error_kind kind) {
  const auto row = std::ranges::find(kErrorTable, kind, &answer::kind);
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
