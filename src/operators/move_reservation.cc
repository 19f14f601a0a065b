#include "operators/move_reservation.h"

#include "operators/audit_entry.h"
#include "operators/platform_calls.h"

namespace fireflyspar::operators {
namespace {

using base::error_kind;
using base::Fail;
using decisions::move;

base::failure MoveInProgressFailure(const move& other) {
  return Fail(error_kind::kConflict,
              "move '" + other.id +
                  "' of the same service is under way, from '" +
                  other.old_version + "' to '" + other.new_version + "'");
}

// Ensures that the move that holds the reservation is final. If it was never
// created, creates it as rolled back; otherwise fails unless it is final.
base::status FinishOtherMove(const context& ctx, const move& other) {
  move given_up = other;
  given_up.state = decisions::move_state::kRolledBack;
  given_up.is_final = true;
  given_up.evidence = std::string(kNeverStarted) +
                      ": given up for another move of the service by " +
                      ctx.who;
  const std::string text = platform::ToText(given_up);
  const auto written = WriteConditionally(
      ctx, {.key = std::string(platform::kMovePrefix) + other.id,
            .value = text,
            .if_version = 0,
            .is_ours = [&](const auto& now) { return now.value == text; }});
  if (!written) return written.Failure();
  if (written->took_effect) return base::success{};
  const auto stored = platform::ParseMove(written->now.value);
  if (!stored) return stored.Failure();
  if (!stored->is_final) return MoveInProgressFailure(*stored);
  return base::success{};
}

}  // namespace

base::status ReserveService(const context& ctx, const move& value) {
  const std::string key = std::string(kReservationPrefix) + value.service;
  const auto before = GetOrNone(ctx, key);
  if (!before) return before.Failure();
  if (before->version != 0) {
    const auto other = platform::ParseMove(before->value);
    if (!other) return other.Failure();
    const auto ended = FinishOtherMove(ctx, *other);
    if (!ended) return ended;
  }
  const std::string text = platform::ToText(value);
  const auto written = WriteConditionally(
      ctx, {.key = key,
            .value = text,
            .if_version = before->version,
            .is_ours = [&](const auto& now) { return now.value == text; }});
  if (!written) return written.Failure();
  if (written->took_effect) return base::success{};
  const auto other = platform::ParseMove(written->now.value);
  if (!other) return other.Failure();
  return MoveInProgressFailure(*other);
}

}  // namespace fireflyspar::operators
