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

stored_preset Describe(const platform::object& from) {
  return {.name = from.key.substr(platform::kPresetPrefix.size()),
          .hash = base::ContentHash(from.value),
          .bytes = from.value.size()};
}

base::failure LostTo(const platform::in_force& winner) {
  return Fail(error_kind::kConflict,
              "another operator's choice came first: version " +
                  std::to_string(winner.id.version) + ", preset '" +
                  winner.preset + "', operation " + winner.operation_id);
}

bool HasOperation(const platform::object& now, std::string_view operation_id) {
  const auto read = platform::ParseInForce(now.value);
  return read && read->operation_id == operation_id;
}

base::result<platform::in_force> ParsePresent(const platform::object& from) {
  if (from.version == 0) return platform::in_force{};
  return platform::ParseInForce(from.value);
}

std::string Described(const platform::in_force& value) {
  if (value.id.version == 0) return "nothing";
  return "version " + std::to_string(value.id.version) + ", preset '" +
         value.preset + "'";
}

// Returns the failure to report when the snapshot could not be stored. It is
// never kAnswerLost: even if the response to the snapshot's write was lost, the
// choice was certainly not made.
base::failure SnapshotFailure(const base::failure& failure) {
  if (failure.Kind() != error_kind::kAnswerLost) return failure;
  return Fail(error_kind::kPlatformUnavailable,
              "nothing was changed, as the snapshot can't be stored: " +
                  failure.detail);
}

// Puts `next` in force by compare-and-set.
base::result<platform::in_force> Choose(const context& with,
                                        const audit_entry& entry,
                                        const platform::in_force& next) {
  const auto written =
      Write(with, {.key = entry.key,
                   .value = platform::ToText(next),
                   .if_version = entry.if_version,
                   .is_ours = [&](const auto& now) {
                     return HasOperation(now, next.operation_id);
                   }});
  if (!written) return written.Failure();
  if (written->took_effect) return next;
  if (written->was_lost) {
    const auto replaced = WasReplaced(with, entry, written->now);
    if (!replaced) return Fail(error_kind::kAnswerLost, next.operation_id);
    if (*replaced) return next;
  }
  const auto winner = ParsePresent(written->now);
  if (!winner) return winner.Failure();
  return LostTo(*winner);
}

base::result<stored_preset> Store(const context& with, const audit_entry& entry,
                                  const std::string& text) {
  const auto written = Write(
      with, {.key = entry.key,
             .value = text,
             .if_version = entry.if_version,
             .is_ours = [&](const auto& now) { return now.value == text; }});
  if (!written) return written.Failure();
  if (written->took_effect) return Describe(written->now);
  if (written->was_lost) {
    const auto replaced = WasReplaced(with, entry, written->now);
    if (!replaced) return Fail(error_kind::kAnswerLost, entry.operation_id);
    if (*replaced) {
      return Describe({.key = entry.key, .version = 0, .value = text});
    }
  }
  return Fail(error_kind::kConflict,
              "another operator changed '" + entry.key +
                  "' at the same moment; its hash now is " +
                  base::ContentHash(written->now.value));
}

}  // namespace

base::result<stored_preset> PutPreset(const context& with,
                                      const config::preset& value) {
  const std::string text = ToText(value);
  const std::string key = PresetKey(value.name);
  const auto before = GetOrNone(with, key);
  if (!before) return before.Failure();
  const std::string hash = base::ContentHash(text);
  const std::string mark_before = MarkOf(*before);
  const audit_entry entry = {
      .operation_id = NewOperationId(with.random),
      .who = with.who,
      .when = with.clock(),
      .action = audit_action::kPutPreset,
      .from = mark_before.empty() ? "nothing" : "hash " + mark_before,
      .to = "preset '" + value.name + "', hash " + hash,
      .key = key,
      .if_version = before->version,
      .mark_before = mark_before,
      .mark_after = hash};
  return Audited<stored_preset>(with, entry,
                                [&] { return Store(with, entry, text); });
}

base::result<std::vector<stored_preset>> ListPresets(const context& with) {
  const auto objects = List(with, platform::kPresetPrefix);
  if (!objects) return objects.Failure();
  std::vector<stored_preset> presets;
  std::ranges::transform(*objects, std::back_inserter(presets), Describe);
  return presets;
}

base::result<std::string> ShowPreset(const context& with,
                                     std::string_view name) {
  const auto object = Get(with, PresetKey(name));
  if (object) return object->value;
  if (object.Failure().Kind() != error_kind::kNotFound) return object.Failure();
  return Fail(error_kind::kNotFound,
              "there is no preset '" + std::string(name) + "'");
}

base::result<std::optional<platform::in_force>> ReadInForce(
    const context& with) {
  const auto object = GetOrNone(with, platform::kInForceKey);
  if (!object) return object.Failure();
  if (object->version == 0) return std::optional<platform::in_force>{};
  auto read = platform::ParseInForce(object->value);
  if (!read) return read.Failure();
  return std::optional(*std::move(read));
}

base::result<std::string> ShowInForce(const context& with) {
  const auto current = ReadInForce(with);
  if (!current) return current.Failure();
  if (!*current) return Fail(error_kind::kNotFound, "no preset is in force");
  const auto snapshot =
      Get(with, std::string(platform::kSnapshotPrefix) + (*current)->id.hash);
  if (!snapshot) return snapshot.Failure();
  return snapshot->value;
}

base::result<platform::in_force> UsePreset(const context& with,
                                           std::string_view name) {
  const auto text = ShowPreset(with, name);
  if (!text) return text.Failure();
  const std::string hash = base::ContentHash(*text);
  const auto checked = config::MakeSnapshot({.hash = hash}, *text);
  if (!checked) return checked.Failure();
  const auto before = GetOrNone(with, platform::kInForceKey);
  if (!before) return before.Failure();
  const auto current = ParsePresent(*before);
  if (!current) return current.Failure();
  const platform::in_force next = {
      .id = {.version = current->id.version + 1, .hash = hash},
      .preset = std::string(name),
      .operation_id = NewOperationId(with.random)};
  const audit_entry entry = {.operation_id = next.operation_id,
                             .who = with.who,
                             .when = with.clock(),
                             .action = audit_action::kUsePreset,
                             .from = Described(*current),
                             .to = Described(next),
                             .key = std::string(platform::kInForceKey),
                             .if_version = before->version,
                             .mark_before = current->operation_id,
                             .mark_after = next.operation_id,
                             .snapshot_hash = hash};
  // The snapshot is stored after the audit entry that names it, since the entry
  // keeps it from being removed, and before the choice that needs it.
  return Audited<platform::in_force>(
      with, entry, [&]() -> base::result<platform::in_force> {
        const auto stored = StoreSnapshot(with, hash, *text);
        if (!stored) return SnapshotFailure(stored.Failure());
        return Choose(with, entry, next);
      });
}

}  // namespace fireflyspar::operators
