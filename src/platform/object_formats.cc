#include "platform/object_formats.h"

#include <algorithm>
#include <array>

#include "config/json_document.h"
#include "decisions/move_state_text.h"

namespace fireflyspar::platform {
namespace {

using config::ReadObject;
using config::ReadText;
using config::validation_errors;
using enum config::presence;
using nlohmann::json;
using nlohmann::ordered_json;

constexpr std::size_t kMaxRecordBytes = 65'536;

config::value_reader ReadState(decisions::move_state& to) {
  return [&to](const json& value, const std::string& at,
               validation_errors& out) {
    using enum decisions::move_state;
    constexpr std::array kStates = {kRunning, kRolledBack, kDone};
    const auto found = std::ranges::find_if(
        kStates, [&](auto state) { return value == decisions::ToText(state); });
    if (found != kStates.end()) {
      to = *found;
      return;
    }
    out.push_back(
        {at, config::Excerpt(value), R"("running", "taken_back" or "done")"});
  };
}

// Reads a time given in microseconds since the Unix epoch.
config::value_reader ReadInstant(base::instant& to) {
  return
      [&to](const json& value, const std::string& at, validation_errors& out) {
        if (!value.is_number_integer()) {
          out.push_back({at, config::Excerpt(value), "a time in microseconds"});
          return;
        }
        to = base::instant(base::duration(value.get<std::int64_t>()));
      };
}

std::int64_t Microseconds(base::instant at) {
  return at.time_since_epoch().count();
}

// Replaces bytes that are not valid UTF-8, which may occur in an operator's
// name; by default the JSON library would throw.
std::string Dump(const ordered_json& value) {
  return value.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

base::failure Malformed(std::string_view what, const validation_errors& found) {
  const config::validation_error& first = found.front();
  return base::Fail(base::error_kind::kMalformedMessage,
                    std::string(what) + ": at '" + first.pointer + "' stands " +
                        first.value + ", expected " + first.expected);
}

}  // namespace

std::string ToText(const in_force& value) {
  return Dump({{"version", value.id.version},
               {"hash", value.id.hash},
               {"preset", value.preset},
               {"operation_id", value.operation_id}});
}

// Ignores unknown keys, so that this version of the program can read what a
// later version has written while the fleet is being upgraded.
base::result<in_force> ParseInForce(std::string_view text) {
  in_force read;
  validation_errors found;
  const auto document = config::ReadJson(text, kMaxRecordBytes, found);
  if (document) {
    ReadObject(*document, "",
               {{"version", kRequired, config::ReadUint64(read.id.version)},
                {"hash", kRequired, ReadText(read.id.hash)},
                {"preset", kRequired, ReadText(read.preset)},
                {"operation_id", kRequired, ReadText(read.operation_id)}},
               config::unknown_keys::kIgnored, found);
  }
  if (!found.empty()) return Malformed(kInForceKey, found);
  return read;
}

std::string ToText(const decisions::move& value) {
  return Dump({{"id", value.id},
               {"service", value.service},
               {"old_version", value.old_version},
               {"new_version", value.new_version},
               {"start_us", Microseconds(value.start)},
               {"by_us", Microseconds(value.complete_by)},
               {"operation_id", value.operation_id},
               {"state", ToText(value.state)},
               {"final", value.is_final},
               {"evidence", value.evidence},
               {"ready_data_centres", value.ready_data_centres}});
}

base::result<decisions::move> ParseMove(std::string_view text) {
  decisions::move read;
  validation_errors found;
  const auto document = config::ReadJson(text, kMaxRecordBytes, found);
  if (document) {
    ReadObject(*document, "",
               {{"id", kRequired, ReadText(read.id)},
                {"service", kRequired, ReadText(read.service)},
                {"old_version", kRequired, ReadText(read.old_version)},
                {"new_version", kRequired, ReadText(read.new_version)},
                {"start_us", kRequired, ReadInstant(read.start)},
                {"by_us", kRequired, ReadInstant(read.complete_by)},
                {"operation_id", kRequired, ReadText(read.operation_id)},
                {"state", kRequired, ReadState(read.state)},
                {"final", kRequired, config::ReadBool(read.is_final)},
                {"evidence", kOptional, ReadText(read.evidence)},
                {"ready_data_centres", kOptional,
                 config::ReadTexts(read.ready_data_centres)}},
               config::unknown_keys::kIgnored, found);
  }
  if (!found.empty()) return Malformed("move", found);
  return read;
}

}  // namespace fireflyspar::platform
