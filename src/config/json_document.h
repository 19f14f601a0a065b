// Strict parsing of JSON texts into typed values. Each problem is reported as
// an error with its JSON pointer. The parser uses the event (SAX) interface of
// nlohmann::json rather than cpprestsdk's json, because cpprestsdk silently
// keeps the last of two equal keys and has no depth limit: a preset with two
// "percent" keys could be read differently from what its author meant.
#ifndef FIREFLYSPAR_CONFIG_JSON_DOCUMENT_H_
#define FIREFLYSPAR_CONFIG_JSON_DOCUMENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/fault.h"

namespace fireflyspar::config {

// Maximum nesting depth of objects and arrays; a preset needs 5.
inline constexpr std::size_t kMaxJsonDepth = 16;

// Parses `text`. Returns no document if the text is not JSON, is longer than
// `max_bytes` or is nested too deeply. Duplicate keys add errors to `out`, but
// the document is still returned.
std::optional<nlohmann::json> ReadJson(std::string_view text,
                                       std::size_t max_bytes,
                                       validation_errors& out);

// Appends a token to a JSON pointer. The token is escaped as in RFC 6901: "/"
// becomes "~1" and "~" becomes "~0".
std::string PointerTo(std::string_view at, std::string_view token);
std::string PointerTo(std::string_view at, std::size_t index);

// Returns the value as one line of JSON. Never fails: bytes that are not UTF-8
// become U+FFFD.
std::string DumpJson(const nlohmann::json& value);

// Returns a value as it is shown in an error: JSON text, cut to be readable.
std::string Excerpt(const nlohmann::json& value);

// Reads the JSON value at a JSON pointer, or adds errors to `out`.
using value_reader =
    std::function<void(const nlohmann::json& value, const std::string& at,
                       validation_errors& out)>;

enum class presence { kRequired, kOptional };
enum class unknown_keys { kRefused, kIgnored };

struct field {
  std::string_view name;
  presence needed = presence::kRequired;
  value_reader read;
};

// Reads the members of an object by name. Adds an error for each missing
// required member and, with kRefused, for each unknown key.
void ReadObject(const nlohmann::json& value, const std::string& at,
                std::initializer_list<field> fields, unknown_keys rule,
                validation_errors& out);

// Return readers for simple values. The referenced value must outlive the
// reader.
value_reader ReadText(std::string& to);
value_reader ReadBool(bool& to);
value_reader ReadInt(int& to);
value_reader ReadUint64(std::uint64_t& to);
value_reader ReadDouble(double& to);
value_reader ReadMilliseconds(std::chrono::milliseconds& to);
value_reader ReadSeconds(std::chrono::seconds& to);
value_reader ReadTexts(std::vector<std::string>& to);

// Returns a reader for an array that reads each item by calling
// `read_item(item, item_pointer, to, out)`. An invalid item is still added to
// the array, so that the pointers of later errors are correct.
template <typename T, typename ReadItem>
value_reader ReadArray(std::vector<T>& to, ReadItem read_item) {
  return [&to, read_item](const nlohmann::json& value, const std::string& at,
                          validation_errors& out) {
    if (!value.is_array()) {
      out.push_back({at, Excerpt(value), "an array"});
      return;
    }
    to.reserve(value.size());
    for (const nlohmann::json& item : value) {
      const std::string item_at = PointerTo(at, to.size());
      read_item(item, item_at, to.emplace_back(), out);
    }
  };
}

}  // namespace fireflyspar::config

#endif  // FIREFLYSPAR_CONFIG_JSON_DOCUMENT_H_
