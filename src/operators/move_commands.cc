#include "operators/move_commands.h"

#include <algorithm>

#include "operators/audited_change.h"
#include "operators/move_reservation.h"
#include "operators/platform_calls.h"
#include "operators/preset_commands.h"

namespace fireflyspar::operators {
namespace {

using base::error_kind;
using base::Fail;
using decisions::move;
using decisions::move_state;

// Maximum attempts of a rollback. It retries if the move's object changed after
// it was read, which also happens when a data centre's evaluators report.
constexpr int kMaxRollBackAttempts = 10;

std::string MoveKey(std::string_view id) {
  return std::string(platform::kMovePrefix) + std::string(id);
}

bool HoldsMove(const platform::object& now, const move& value) {
  const auto read = platform::ParseMove(now.value);
  return read && read->operation_id == value.operation_id;
}

// Checks that the preset in force gives calls of the service to the old
// version. Otherwise there is nothing to move and nothing to compare the new
// version with.
base::status CheckAgainstPreset(const context& ctx,
                                const move_request& request) {
  const auto current = ReadInForce(ctx);
  if (!current) return current.Failure();
  if (!*current) return Fail(error_kind::kBadRequest, "no preset is in force");
  const config::version_id& id = (*current)->id;
  const auto text = Get(ctx, std::string(platform::kSnapshotPrefix) + id.hash);
  if (!text) return text.Failure();
  const auto snapshot = config::MakeSnapshot(id, text->value);
  if (!snapshot) return snapshot.Failure();
  const auto& services = (*snapshot)->content.services;
  const auto service =
      std::ranges::find(services, request.service, &config::service::name);
  if (service == services.end()) {
    return Fail(error_kind::kBadRequest,
                "the preset in force, '" + (*current)->preset +
                    "', has no service '" + request.service + "'");
  }
  const auto share = std::ranges::find(service->versions, request.old_version,
                                       &config::version_share::version);
  if (share == service->versions.end() || share->percent == 0) {
    return Fail(error_kind::kBadRequest,
                "the preset in force gives no calls of '" + request.service +
                    "' to version '" + request.old_version + "'");
  }
  return base::success{};
}

base::status CheckRequest(const move_request& request) {
  if (request.old_version == request.new_version) {
    return Fail(
        error_kind::kBadRequest,
        "the old and the new version are both '" + request.new_version + "'");
  }
  if (request.complete_by <= request.start) {
    return Fail(error_kind::kBadRequest,
                "the time of --by must be later than that of --start");
  }
  return base::success{};
}

base::result<move> ParseStoredMove(const platform::object& from) {
  return platform::ParseMove(from.value);
}

std::string Describe(const move& value) {
  return "move '" + value.id + "': " + value.service + " " + value.old_version +
         " -> " + value.new_version;
}

base::result<move> Create(const context& ctx, const move& started) {
  const auto reserved = ReserveService(ctx, started);
  if (!reserved) return reserved.Failure();
  const auto written = WriteConditionally(
      ctx,
      {.key = MoveKey(started.id),
       .value = platform::ToText(started),
       .if_version = 0,
       .is_ours = [&](const auto& now) { return HoldsMove(now, started); }});
  if (!written) return written.Failure();
  auto stored = ParseStoredMove(written->now);
  if (stored && stored->evidence.starts_with(kNeverStarted)) {
    return Fail(error_kind::kConflict, stored->evidence);
  }
  return stored;
}

// Returns the move as it is after this operation has rolled it back.
move RolledBack(const context& ctx, move value,
                const std::string& operation_id) {
  value.state = move_state::kRolledBack;
  value.is_final = true;
  value.evidence =
      "taken back by hand by " + ctx.who + " " + OperationSuffix(operation_id);
  return value;
}

base::failure AlreadyDoneFailure(const move& value) {
  return Fail(error_kind::kConflict, "move '" + value.id + "' is done already");
}

base::result<move> RollBack(const context& ctx, const audit_entry& entry) {
  for (int attempt = 0; attempt < kMaxRollBackAttempts; ++attempt) {
    const auto before = Get(ctx, entry.key);
    if (!before) return before.Failure();
    auto current = ParseStoredMove(*before);
    if (!current) return current.Failure();
    if (current->is_final) {
      if (current->state == move_state::kDone) {
        return AlreadyDoneFailure(*current);
      }
      return current;
    }
    const move next = RolledBack(ctx, *current, entry.operation_id);
    const auto written =
        WriteConditionally(ctx, {.key = before->key,
                                 .value = platform::ToText(next),
                                 .if_version = before->version,
                                 .is_ours = [&](const auto& now) {
                                   return ValueIdOf(now) == entry.operation_id;
                                 }});
    if (!written) return written.Failure();
    if (written->took_effect) return next;
  }
  return Fail(error_kind::kConflict, entry.key + " keeps changing; try again");
}

}  // namespace

base::result<move> StartMove(const context& ctx, const move_request& request) {
  if (const auto fine = CheckRequest(request); !fine) return fine.Failure();
  const auto matches = CheckAgainstPreset(ctx, request);
  if (!matches) return matches.Failure();
  const std::string operation_id = NewOperationId(ctx.random);
  const move started = {.id = request.service + "-" + operation_id,
                        .service = request.service,
                        .old_version = request.old_version,
                        .new_version = request.new_version,
                        .start = request.start,
                        .complete_by = request.complete_by,
                        .operation_id = operation_id};
  const audit_entry entry = {.operation_id = operation_id,
                             .who = ctx.who,
                             .when = ctx.clock(),
                             .action = audit_action::kStartMove,
                             .from = "nothing",
                             .to = Describe(started),
                             .key = MoveKey(started.id),
                             .value_id_after = operation_id};
  return RunAudited<move>(ctx, entry, [&] { return Create(ctx, started); });
}

base::result<std::vector<move>> ListMoves(const context& ctx) {
  const auto objects = List(ctx, platform::kMovePrefix);
  if (!objects) return objects.Failure();
  std::vector<move> moves;
  for (const platform::object& each : *objects) {
    auto read = ParseStoredMove(each);
    if (!read) return read.Failure();
    moves.push_back(*std::move(read));
  }
  return moves;
}

base::result<move> ShowMove(const context& ctx, std::string_view id) {
  const auto object = Get(ctx, MoveKey(id));
  if (object) return ParseStoredMove(*object);
  if (object.Failure().Kind() != error_kind::kNotFound) return object.Failure();
  return Fail(error_kind::kNotFound,
              "there is no move '" + std::string(id) + "'");
}

base::result<move> RollBackMove(const context& ctx, std::string_view id) {
  auto current = ShowMove(ctx, id);
  if (!current) return current;
  if (current->is_final) {
    if (current->state == move_state::kDone) {
      return AlreadyDoneFailure(*current);
    }
    return current;
  }
  const std::string operation_id = NewOperationId(ctx.random);
  const audit_entry entry = {.operation_id = operation_id,
                             .who = ctx.who,
                             .when = ctx.clock(),
                             .action = audit_action::kRollBackMove,
                             .from = Describe(*current),
                             .to = "taken back",
                             .key = MoveKey(id),
                             .value_id_before = current->operation_id,
                             .value_id_after = operation_id};
  return RunAudited<move>(ctx, entry, [&] { return RollBack(ctx, entry); });
}

}  // namespace fireflyspar::operators
