#include "operators/preset_commands.h"

#include <algorithm>
#include <iterator>

#include "base/hash.h"
#include "config/preset_text.h"
#include "operators/platform_calls.h"

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

// Stores the text that the hash names. It never changes once it is there, so
// one that is there already is ours.
base::status PutSnapshot(const context& with, const std::string& hash,
                         const std::string& text) {
  const auto written = Write(
      with, {.key = std::string(platform::kSnapshotPrefix) + hash,
             .value = text,
             .if_version = 0,
             .is_ours = [&](const auto& now) { return now.value == text; }});
  if (!written) return written.Failure();
  if (!written->took_effect) {
    return Fail(error_kind::kInternal,
                "snapshots/" + hash + " holds another text than its hash says");
  }
  return base::nothing{};
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

// The compare-and-set itself.
base::result<platform::in_force> Choose(const context& with,
                                        const platform::object& before,
                                        const platform::in_force& next) {
  const auto written =
      Write(with, {.key = std::string(platform::kInForceKey),
                   .value = ToText(next),
                   .if_version = before.version,
                   .is_ours = [&](const auto& now) {
                     return HasOperation(now, next.operation_id);
                   }});
  if (!written) return written.Failure();
  if (written->took_effect) return next;
  const auto winner = ParsePresent(written->now);
  if (!winner) return winner.Failure();
  return LostTo(*winner);
}

}  // namespace

base::result<stored_preset> PutPreset(const context& with,
                                      const config::preset& value) {
  const std::string text = ToText(value);
  const std::string key = PresetKey(value.name);
  const auto before = GetOrNone(with, key);
  if (!before) return before.Failure();
  const auto written = Write(
      with, {.key = key,
             .value = text,
             .if_version = before->version,
             .is_ours = [&](const auto& now) { return now.value == text; }});
  if (!written) return written.Failure();
  if (!written->took_effect) {
    return Fail(error_kind::kConflict,
                "another operator changed preset '" + value.name +
                    "' at the same moment; its hash now is " +
                    base::ContentHash(written->now.value));
  }
  return Describe(written->now);
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

base::result<platform::in_force> UsePreset(const context& with,
                                           std::string_view name) {
  const auto text = ShowPreset(with, name);
  if (!text) return text.Failure();
  const std::string hash = base::ContentHash(*text);
  const auto checked = config::MakeSnapshot({.hash = hash}, *text);
  if (!checked) return checked.Failure();
  const auto stored = PutSnapshot(with, hash, *text);
  if (!stored) return stored.Failure();

  const auto before = GetOrNone(with, platform::kInForceKey);
  if (!before) return before.Failure();
  const auto current = ParsePresent(*before);
  if (!current) return current.Failure();
  const platform::in_force next = {
      .id = {.version = current->id.version + 1, .hash = hash},
      .preset = std::string(name),
      .operation_id = NewOperationId(with.random)};
  return Choose(with, *before, next);
}

}  // namespace fireflyspar::operators
