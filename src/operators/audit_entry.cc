#include "operators/audit_entry.h"

#include <algorithm>
#include <array>
#include <utility>

#include "base/hash.h"
#include "config/json_document.h"
#include "config/preset.h"
#include "platform/object_formats.h"

namespace fireflyspar::operators {
namespace {

using config::validation_errors;
using nlohmann::json;
using nlohmann::ordered_json;
using enum config::presence;

constexpr std::string_view kOperationSuffixBegin = "(operation ";
constexpr std::string_view kOperationSuffixEnd = ")";

constexpr std::array kActionNames = {
    std::pair{audit_action::kPutPreset, std::string_view("preset put")},
    std::pair{audit_action::kUsePreset, std::string_view("preset use")},
    std::pair{audit_action::kStartMove, std::string_view("move start")},
    std::pair{audit_action::kRollBackMove, std::string_view("move take-back")},
};

constexpr std::array kOutcomeNames = {
    std::pair{audit_outcome::kPending, std::string_view("pending")},
    std::pair{audit_outcome::kAccepted, std::string_view("accepted")},
    std::pair{audit_outcome::kRefused, std::string_view("refused")},
};

template <typename Names, typename Kind>
std::string_view NameOf(const Names& names, Kind kind) {
  const auto found = std::ranges::find(
      names, kind, [](const auto& each) { return each.first; });
  return found == names.end() ? std::string_view{} : found->second;
}

template <typename Names, typename Kind>
config::value_reader ReadName(const Names& names, Kind& to) {
  return [&](const json& value, const std::string& at, validation_errors& out) {
    const auto found = std::ranges::find_if(
        names, [&](const auto& each) { return value == each.second; });
    if (found == names.end()) {
      out.push_back({at, config::Excerpt(value), "one of the known names"});
      return;
    }
    to = found->first;
  };
}

ordered_json ToJson(const audit_entry& entry) {
  return {{"operation_id", entry.operation_id},
          {"who", entry.who},
          {"when_us", entry.when.time_since_epoch().count()},
          {"action", ToText(entry.action)},
          {"from", entry.from},
          {"to", entry.to},
          {"outcome", ToText(entry.outcome)},
          {"detail", entry.detail},
          {"key", entry.key},
          {"if_version", entry.if_version},
          {"mark_before", entry.value_id_before},
          {"mark_after", entry.value_id_after},
          {"snapshot_hash", entry.snapshot_hash}};
}

void ReadEntry(const json& value, const std::string& at, audit_entry& to,
               validation_errors& out) {
  using config::ReadText;
  std::uint64_t when_us = 0;
  config::ReadObject(
      value, at,
      {{"operation_id", kRequired, ReadText(to.operation_id)},
       {"who", kRequired, ReadText(to.who)},
       {"when_us", kRequired, config::ReadUint64(when_us)},
       {"action", kRequired, ReadName(kActionNames, to.action)},
       {"from", kRequired, ReadText(to.from)},
       {"to", kRequired, ReadText(to.to)},
       {"outcome", kRequired, ReadName(kOutcomeNames, to.outcome)},
       {"detail", kRequired, ReadText(to.detail)},
       {"key", kRequired, ReadText(to.key)},
       {"if_version", kRequired, config::ReadUint64(to.if_version)},
       {"mark_before", kRequired, ReadText(to.value_id_before)},
       {"mark_after", kRequired, ReadText(to.value_id_after)},
       {"snapshot_hash", kOptional, ReadText(to.snapshot_hash)}},
      config::unknown_keys::kIgnored, out);
  to.when = base::instant(base::duration(static_cast<std::int64_t>(when_us)));
}

// Returns the operation that the evidence of a move rolled back by hand names,
// or an empty string if the move was not rolled back by hand.
std::string OperationInEvidence(std::string_view evidence) {
  const std::size_t begin = evidence.rfind(kOperationSuffixBegin);
  if (begin == std::string_view::npos ||
      !evidence.ends_with(kOperationSuffixEnd)) {
    return "";
  }
  evidence.remove_prefix(begin + kOperationSuffixBegin.size());
  evidence.remove_suffix(kOperationSuffixEnd.size());
  return std::string(evidence);
}

// A move's object is created only once. If another operator gave the move up
// first, the evidence of the stored object begins with kNeverStarted.
std::optional<audit_outcome> InferStartOutcome(const platform::object& now) {
  if (now.version == 0) return {};
  const auto stored = platform::ParseMove(now.value);
  if (!stored) return {};
  return stored->evidence.starts_with(kNeverStarted) ? audit_outcome::kRefused
                                                     : audit_outcome::kAccepted;
}

// A rollback is retried until the move is final, so its outcome is uncertain
// until then. It was refused if another operation made the move final.
std::optional<audit_outcome> InferRollBackOutcome(const audit_entry& entry,
                                                  const platform::object& now) {
  if (ValueIdOf(now) == entry.value_id_after) return audit_outcome::kAccepted;
  const auto stored = platform::ParseMove(now.value);
  if (!stored || !stored->is_final) return {};
  return audit_outcome::kRefused;
}

}  // namespace

std::string_view ToText(audit_action action) {
  return NameOf(kActionNames, action);
}

std::string_view ToText(audit_outcome outcome) {
  return NameOf(kOutcomeNames, outcome);
}

std::string ToText(std::span<const audit_entry> entries) {
  // Writes one entry per line.
  std::string text = "{\"entries\":[";
  std::string_view separator = "\n";
  for (const audit_entry& each : entries) {
    text.append(separator).append(ToJson(each).dump(
        -1, ' ', false, ordered_json::error_handler_t::replace));
    separator = ",\n";
  }
  return text + "]}\n";
}

base::result<std::vector<audit_entry>> ParseEntries(std::string_view text) {
  std::vector<audit_entry> entries;
  validation_errors found;
  const auto document = config::ReadJson(text, config::kMaxPresetBytes, found);
  if (document) {
    config::ReadObject(
        *document, "",
        {{"entries", kRequired, config::ReadArray(entries, ReadEntry)}},
        config::unknown_keys::kIgnored, found);
  }
  if (found.empty()) return entries;
  return base::Fail(base::error_kind::kMalformedMessage,
                    "audit segment: at '" + found.front().pointer +
                        "': found " + found.front().value + ", expected " +
                        found.front().expected);
}

std::string ValueIdOf(const platform::object& object) {
  if (object.version == 0) return "";
  if (object.key == platform::kInForceKey) {
    const auto stored = platform::ParseInForce(object.value);
    return stored ? stored->operation_id : "";
  }
  if (object.key.starts_with(platform::kMovePrefix)) {
    const auto stored = platform::ParseMove(object.value);
    if (!stored) return "";
    const std::string rollback_operation =
        OperationInEvidence(stored->evidence);
    return rollback_operation.empty() ? stored->operation_id
                                      : rollback_operation;
  }
  return base::ContentHash(object.value);
}

std::optional<audit_outcome> InferOutcome(
    const audit_entry& entry, const platform::object& now,
    std::span<const audit_entry> entries) {
  if (entry.action == audit_action::kStartMove) return InferStartOutcome(now);
  if (entry.action == audit_action::kRollBackMove) {
    return InferRollBackOutcome(entry, now);
  }
  if (ValueIdOf(now) == entry.value_id_after) return audit_outcome::kAccepted;
  // The conditional write may not have reached the platform yet.
  if (now.version == entry.if_version) return {};
  const bool was_found = std::ranges::any_of(entries, [&](const auto& each) {
    return each.key == entry.key &&
           each.value_id_before == entry.value_id_after;
  });
  return was_found ? audit_outcome::kAccepted : audit_outcome::kRefused;
}

std::string OperationSuffix(std::string_view operation_id) {
  return std::string(kOperationSuffixBegin) + std::string(operation_id) +
         std::string(kOperationSuffixEnd);
}

}  // namespace fireflyspar::operators
