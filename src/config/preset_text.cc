#include "config/preset_text.h"

#include <algorithm>

#include "config/json_document.h"
#include "config/validate.h"

namespace fireflyspar::config {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;
using enum presence;

// Maximum number of errors listed, since nobody reads more at once. The others
// are only counted.
constexpr std::size_t kMaxErrors = 1000;

constexpr std::string_view kInsideText = "inside";
constexpr std::string_view kOutsideText = "outside";

std::string_view ToText(visibility value) {
  return value == visibility::kOutside ? kOutsideText : kInsideText;
}

value_reader ReadVisibility(visibility& to) {
  return
      [&to](const json& value, const std::string& at, validation_errors& out) {
        if (value == kInsideText) {
          to = visibility::kInside;
        } else if (value == kOutsideText) {
          to = visibility::kOutside;
        } else {
          out.push_back({at, Excerpt(value), R"("inside" or "outside")"});
        }
      };
}

void ReadShare(const json& value, const std::string& at, version_share& to,
               validation_errors& out) {
  ReadObject(value, at,
             {{"version", kRequired, ReadText(to.version)},
              {"percent", kRequired, ReadInt(to.percent)}},
             unknown_keys::kRefused, out);
}

value_reader ReadRetries(retry_policy& to) {
  return
      [&to](const json& value, const std::string& at, validation_errors& out) {
        ReadObject(value, at,
                   {{"max_attempts", kOptional, ReadInt(to.max_attempts)},
                    {"budget_percent", kOptional, ReadInt(to.budget_percent)}},
                   unknown_keys::kRefused, out);
      };
}

void ReadService(const json& value, const std::string& at, service& to,
                 validation_errors& out) {
  ReadObject(
      value, at,
      {{"name", kRequired, ReadText(to.name)},
       {"versions", kRequired, ReadArray(to.versions, ReadShare)},
       {"max_calls_per_second", kOptional, ReadInt(to.max_calls_per_second)},
       {"max_in_flight_per_caller", kOptional,
        ReadInt(to.max_in_flight_per_caller)},
       {"timeout_ms", kOptional, ReadMilliseconds(to.timeout)},
       {"retries", kOptional, ReadRetries(to.retries)}},
      unknown_keys::kRefused, out);
}

void ReadHeader(const json& value, const std::string& at, header_match& to,
                validation_errors& out) {
  ReadObject(value, at,
             {{"name", kRequired, ReadText(to.name)},
              {"value", kRequired, ReadText(to.value)}},
             unknown_keys::kRefused, out);
}

void ReadRoute(const json& value, const std::string& at, route& to,
               validation_errors& out) {
  ReadObject(value, at,
             {{"name", kRequired, ReadText(to.name)},
              {"methods", kOptional, ReadTexts(to.methods)},
              {"path_prefix", kRequired, ReadText(to.path_prefix)},
              {"headers", kOptional, ReadArray(to.headers, ReadHeader)},
              {"service", kRequired, ReadText(to.service)},
              {"visibility", kOptional, ReadVisibility(to.visible_from)},
              {"at_most_once", kOptional, ReadBool(to.at_most_once)},
              {"timeout_ms", kOptional, ReadMilliseconds(to.timeout)}},
             unknown_keys::kRefused, out);
}

value_reader ReadMoves(move_policy& to) {
  return
      [&to](const json& value, const std::string& at, validation_errors& out) {
        ReadObject(value, at,
                   {{"max_unproven_percent", kOptional,
                     ReadDouble(to.max_unproven_percent)},
                    {"bake_s", kOptional, ReadSeconds(to.bake)}},
                   unknown_keys::kRefused, out);
      };
}

preset ReadPreset(const json& document, validation_errors& out) {
  preset to;
  ReadObject(document, "",
             {{"schema_version", kRequired, ReadInt(to.schema_version)},
              {"name", kRequired, ReadText(to.name)},
              {"description", kOptional, ReadText(to.description)},
              {"data_centres", kRequired, ReadTexts(to.data_centres)},
              {"services", kRequired, ReadArray(to.services, ReadService)},
              {"routes", kRequired, ReadArray(to.routes, ReadRoute)},
              {"moves", kOptional, ReadMoves(to.moves)}},
             unknown_keys::kRefused, out);
  return to;
}

// Returns whether the preset uses a newer schema than this program reads. If
// so, replaces `out` with an error on the version alone, because all keys of
// the newer schema would be reported as unknown.
bool IsNewerSchema(const json& document, validation_errors& out) {
  if (!document.is_object()) return false;
  const auto found = document.find("schema_version");
  if (found == document.end() || !found->is_number_unsigned()) return false;
  if (found->get<std::uint64_t>() <= std::uint64_t{kSchemaVersion}) {
    return false;
  }
  out = {{"/schema_version", Excerpt(*found),
          "at most " + std::to_string(kSchemaVersion) +
              ", the newest that this program reads"}};
  return true;
}

bool IsAtOrBelow(std::string_view pointer, std::string_view ancestor) {
  return pointer.starts_with(ancestor) &&
         (pointer.size() == ancestor.size() || pointer[ancestor.size()] == '/');
}

// Adds the errors of Validate, except those caused by a value that could not be
// read: for example, a missing name is not also reported as an empty name.
void AddContentErrors(const preset& value, validation_errors& out) {
  const validation_errors read_errors = out;
  for (validation_error& each : Validate(value)) {
    const bool is_consequence = std::ranges::any_of(
        read_errors, [&](const validation_error& read_error) {
          return IsAtOrBelow(each.pointer, read_error.pointer) ||
                 IsAtOrBelow(read_error.pointer, each.pointer);
        });
    if (!is_consequence) out.push_back(std::move(each));
  }
}

void LimitErrors(validation_errors& out) {
  if (out.size() <= kMaxErrors) return;
  const std::size_t omitted = out.size() - kMaxErrors;
  out.resize(kMaxErrors);
  out.push_back({"", std::to_string(omitted) + " more", "fewer faults"});
}

ordered_json ToJson(const service& value) {
  ordered_json versions = ordered_json::array();
  for (const version_share& each : value.versions) {
    versions.push_back({{"version", each.version}, {"percent", each.percent}});
  }
  return {{"name", value.name},
          {"versions", std::move(versions)},
          {"max_calls_per_second", value.max_calls_per_second},
          {"max_in_flight_per_caller", value.max_in_flight_per_caller},
          {"timeout_ms", value.timeout.count()},
          {"retries",
           {{"max_attempts", value.retries.max_attempts},
            {"budget_percent", value.retries.budget_percent}}}};
}

ordered_json ToJson(const route& value) {
  ordered_json headers = ordered_json::array();
  for (const header_match& each : value.headers) {
    headers.push_back({{"name", each.name}, {"value", each.value}});
  }
  return {{"name", value.name},
          {"methods", value.methods},
          {"path_prefix", value.path_prefix},
          {"headers", std::move(headers)},
          {"service", value.service},
          {"visibility", ToText(value.visible_from)},
          {"at_most_once", value.at_most_once},
          {"timeout_ms", value.timeout.count()}};
}

// Serialises a value without throwing on text that is not UTF-8, which is
// reported as an error elsewhere.
std::string Dump(const ordered_json& value) {
  return value.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

// Returns a JSON array with one item per line, which keeps deltas small and
// readable.
template <typename T>
std::string OneItemPerLine(const std::vector<T>& items) {
  std::string text = "[";
  std::string_view separator = "\n";
  for (const T& item : items) {
    text.append(separator).append(Dump(ToJson(item)));
    separator = ",\n";
  }
  return text + "]";
}

}  // namespace

std::variant<preset, validation_errors> ParsePreset(std::string_view text) {
  validation_errors found;
  const auto document = ReadJson(text, kMaxPresetBytes, found);
  if (!document) return found;
  if (IsNewerSchema(*document, found)) return found;
  preset read = ReadPreset(*document, found);
  AddContentErrors(read, found);
  LimitErrors(found);
  if (!found.empty()) return found;
  return read;
}

std::string ToText(const preset& value) {
  const auto member = [](std::string_view name, const ordered_json& content) {
    return Dump(name) + ":" + Dump(content);
  };
  const ordered_json moves = {
      {"max_unproven_percent", value.moves.max_unproven_percent},
      {"bake_s", value.moves.bake.count()}};
  return "{" + member("schema_version", value.schema_version) + ",\n" +
         member("name", value.name) + ",\n" +
         member("description", value.description) + ",\n" +
         member("data_centres", value.data_centres) + ",\n" +
         member("moves", moves) + ",\n" +
         "\"services\":" + OneItemPerLine(value.services) + ",\n" +
         "\"routes\":" + OneItemPerLine(value.routes) + "}\n";
}

}  // namespace fireflyspar::config
