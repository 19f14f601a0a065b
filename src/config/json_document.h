// Strict reading of JSON texts into typed values, with one fault for each thing
// that is wrong and its JSON pointer. Built on nlohmann::json's event (SAX)
// interface rather than cpprestsdk's json, because that one keeps the last of
// two equal keys without a word and gives no depth limit: a preset in which
// "percent" stands twice would be read differently from how it was meant.
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

// Objects and arrays within one another; a preset needs five.
inline constexpr std::size_t kMaxJsonDepth = 16;

// Parses `text`, of at most `max_bytes`. Nothing when the text is not JSON, is
// too large or too deep; duplicate keys are faults beside the document.
std::optional<nlohmann::json> ReadJson(std::string_view text,
                                       std::size_t max_bytes, faults& out);

// `at` with one more token, escaped as RFC 6901 asks: "/" is "~1", "~" is "~0".
std::string PointerTo(std::string_view at, std::string_view token);
std::string PointerTo(std::string_view at, std::size_t index);

// A value as it is shown in a fault: JSON text, cut to be readable.
std::string Excerpt(const nlohmann::json& value);

// Reads one JSON value that stands at a pointer, or adds faults.
using value_reader = std::function<void(const nlohmann::json& value,
                                        const std::string& at, faults& out)>;

enum class presence { kRequired, kOptional };
enum class unknown_keys { kRefused, kIgnored };

struct field {
  std::string_view name;
  presence needed = presence::kRequired;
  value_reader read;
};

// Reads an object's members by their names.
void ReadObject(const nlohmann::json& value, const std::string& at,
                std::initializer_list<field> fields, unknown_keys rule,
                faults& out);

// Readers for plain values. The referred-to value must outlive the reader.
value_reader ReadText(std::string& to);
value_reader ReadSwitch(bool& to);
value_reader ReadWhole(int& to);
value_reader ReadCounter(std::uint64_t& to);
value_reader ReadNumber(double& to);
value_reader ReadMilliseconds(std::chrono::milliseconds& to);
value_reader ReadSeconds(std::chrono::seconds& to);
value_reader ReadTexts(std::vector<std::string>& to);

// Reads an array by `read_item(item, at, to, out)`. An item with a fault still
// takes its place, so that the pointers of later faults are right.
template <typename T, typename ReadItem>
value_reader ReadArray(std::vector<T>& to, ReadItem read_item) {
  return [&to, read_item](const nlohmann::json& value, const std::string& at,
                          faults& out) {
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
