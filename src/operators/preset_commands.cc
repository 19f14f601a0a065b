#include "operators/preset_commands.h"

#include <algorithm>
#include <iterator>

#include "base/hash.h"
#include "config/preset_text.h"
#include "operators/audited_change.h"
#include "operators/platform_calls.h"
#include "operators/snapshot_store.h"

namespace fireflyspar::operators {
namespace {

using base::error_kind;
using base::Fail;

std::string PresetKey(std::string_view name) {
  return std::string(platform::kPresetPrefix) + std::string(name);
}

stored_preset ToStoredPreset(const platform::object& from) {
  return {.name = from.key.substr(platform::kPresetPrefix.size()),
          .hash = base::ContentHash(from.value),
          .bytes = from.value.size()};
}

base::failure LostRaceFailure(const platform::in_force& winner) {
  return Fail(error_kind::kConflict,
              "another operator's choice came first: version " +
                  std::to_string(winner.id.version) + ", preset '" +
                  winner.preset + "', operation " + winner.operation_id);
}

bool HasOperation(const platform::object& now, std::string_view operation_id) {
  const auto read = platform::ParseInForce(now.value);
  return read && read->operation_id == operation_id;
}

base::result<platform::in_force> ParseInForceOrNone(
    const platform::object& from) {
  if (from.version == 0) return platform::in_force{};
  return platform::ParseInForce(from.value);
}

std::string Describe(const platform::in_force& value) {
  if (value.id.version == 0) return "nothing";
  return "version " + std::to_string(value.id.version) + ", preset '" +
         value.preset + "'";
}

// Returns the failure to report when the snapshot could not be stored. It is
// never kResponseLost: even if the response to the snapshot's write was lost,
// the choice was certainly not made.
base::failure SnapshotFailure(const base::failure& failure) {
  if (failure.Kind() != error_kind::kResponseLost) return failure;
  return Fail(error_kind::kPlatformUnavailable,
              "nothing was changed, as the snapshot can't be stored: " +
                  failure.detail);
}

// Puts `next` in force by compare-and-set.
base::result<platform::in_force> CompareAndSetInForce(
    const context& ctx, const audit_entry& entry,
    const platform::in_force& next) {
  const auto written =
      WriteConditionally(ctx, {.key = entry.key,
                               .value = platform::ToText(next),
                               .if_version = entry.if_version,
                               .is_ours = [&](const auto& now) {
                                 return HasOperation(now, next.operation_id);
                               }});
  if (!written) return written.Failure();
  if (written->took_effect) return next;
  if (written->response_was_lost) {
    const auto replaced = TookEffectThenReplaced(ctx, entry, written->now);
    if (!replaced) return Fail(error_kind::kResponseLost, next.operation_id);
    if (*replaced) return next;
  }
  const auto winner = ParseInForceOrNone(written->now);
  if (!winner) return winner.Failure();
  return LostRaceFailure(*winner);
}

base::result<stored_preset> CompareAndSetPreset(const context& ctx,
                                                const audit_entry& entry,
                                                const std::string& text) {
  const auto written = WriteConditionally(
      ctx, {.key = entry.key,
            .value = text,
            .if_version = entry.if_version,
            .is_ours = [&](const auto& now) { return now.value == text; }});
  if (!written) return written.Failure();
  if (written->took_effect) return ToStoredPreset(written->now);
  if (written->response_was_lost) {
    const auto replaced = TookEffectThenReplaced(ctx, entry, written->now);
    if (!replaced) return Fail(error_kind::kResponseLost, entry.operation_id);
    if (*replaced) {
      return ToStoredPreset({.key = entry.key, .version = 0, .value = text});
    }
  }
  return Fail(error_kind::kConflict,
              "another operator changed '" + entry.key +
                  "' at the same moment; its hash now is " +
                  base::ContentHash(written->now.value));
}

}  // namespace

base::result<stored_preset> PutPreset(const context& ctx,
                                      const config::preset& value) {
  const std::string text = ToText(value);
  const std::string key = PresetKey(value.name);
  const auto before = GetOrNone(ctx, key);
  if (!before) return before.Failure();
  const std::string hash = base::ContentHash(text);
  const std::string value_id_before = ValueIdOf(*before);
  const audit_entry entry = {
      .operation_id = NewOperationId(ctx.random),
      .who = ctx.who,
      .when = ctx.clock(),
      .action = audit_action::kPutPreset,
      .from = value_id_before.empty() ? "nothing" : "hash " + value_id_before,
      .to = "preset '" + value.name + "', hash " + hash,
      .key = key,
      .if_version = before->version,
      .value_id_before = value_id_before,
      .value_id_after = hash};
  return RunAudited<stored_preset>(
      ctx, entry, [&] { return CompareAndSetPreset(ctx, entry, text); });
}

base::result<std::vector<stored_preset>> ListPresets(const context& ctx) {
  const auto objects = List(ctx, platform::kPresetPrefix);
  if (!objects) return objects.Failure();
  std::vector<stored_preset> presets;
  std::ranges::transform(*objects, std::back_inserter(presets), ToStoredPreset);
  return presets;
}

base::result<std::string> ShowPreset(const context& ctx,
                                     std::string_view name) {
  const auto object = Get(ctx, PresetKey(name));
  if (object) return object->value;
  if (object.Failure().Kind() != error_kind::kNotFound) return object.Failure();
  return Fail(error_kind::kNotFound,
              "there is no preset '" + std::string(name) + "'");
}

base::result<std::optional<platform::in_force>> ReadInForce(
    const context& ctx) {
  const auto object = GetOrNone(ctx, platform::kInForceKey);
  if (!object) return object.Failure();
  if (object->version == 0) return std::optional<platform::in_force>{};
  auto read = platform::ParseInForce(object->value);
  if (!read) return read.Failure();
  return std::optional(*std::move(read));
}

base::result<std::string> ShowInForce(const context& ctx) {
  const auto current = ReadInForce(ctx);
  if (!current) return current.Failure();
  if (!*current) return Fail(error_kind::kNotFound, "no preset is in force");
  const auto snapshot =
      Get(ctx, std::string(platform::kSnapshotPrefix) + (*current)->id.hash);
  if (!snapshot) return snapshot.Failure();
  return snapshot->value;
}

base::result<platform::in_force> UsePreset(const context& ctx,
                                           std::string_view name) {
  const auto text = ShowPreset(ctx, name);
  if (!text) return text.Failure();
  const std::string hash = base::ContentHash(*text);
  const auto checked = config::MakeSnapshot({.hash = hash}, *text);
  if (!checked) return checked.Failure();
  const auto before = GetOrNone(ctx, platform::kInForceKey);
  if (!before) return before.Failure();
  const auto current = ParseInForceOrNone(*before);
  if (!current) return current.Failure();
  const platform::in_force next = {
      .id = {.version = current->id.version + 1, .hash = hash},
      .preset = std::string(name),
      .operation_id = NewOperationId(ctx.random)};
  const audit_entry entry = {.operation_id = next.operation_id,
                             .who = ctx.who,
                             .when = ctx.clock(),
                             .action = audit_action::kUsePreset,
                             .from = Describe(*current),
                             .to = Describe(next),
                             .key = std::string(platform::kInForceKey),
                             .if_version = before->version,
                             .value_id_before = current->operation_id,
                             .value_id_after = next.operation_id,
                             .snapshot_hash = hash};
  // The snapshot is stored after the audit entry that names it, since the entry
  // keeps it from being removed, and before the choice that needs it.
  return RunAudited<platform::in_force>(
      ctx, entry, [&]() -> base::result<platform::in_force> {
        const auto stored = StoreSnapshot(ctx, hash, *text);
        if (!stored) return SnapshotFailure(stored.Failure());
        return CompareAndSetInForce(ctx, entry, next);
      });
}

}  // namespace fireflyspar::operators
