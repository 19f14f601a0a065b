#include "config/json_document.h"

#include <algorithm>
#include <limits>

namespace fireflyspar::config {
namespace {

using nlohmann::json;

constexpr std::size_t kExcerptBytes = 60;

// Returns at most the first `limit` bytes, without splitting a UTF-8 character.
std::string_view CutText(std::string_view text, std::size_t limit) {
  if (text.size() <= limit) return text;
  const auto continues = [&](std::size_t at) {
    return (static_cast<unsigned char>(text[at]) & 0xC0) == 0x80;
  };
  while (limit > 0 && continues(limit)) --limit;
  return text.substr(0, limit);
}

// Builds the document from the parser's events. Reports duplicate keys and
// excessive nesting, which the default parser accepts.
class document_builder : public nlohmann::json_sax<json> {
 public:
  document_builder(std::string_view text, validation_errors& out)
      : text_(text), out_(out) {}

  json Take() { return std::move(root_); }

  bool null() override { return Add(nullptr); }
  bool boolean(bool value) override { return Add(value); }
  bool number_integer(std::int64_t value) override { return Add(value); }
  bool number_unsigned(std::uint64_t value) override { return Add(value); }
  bool number_float(double value, const std::string&) override {
    return Add(value);
  }
  bool string(std::string& value) override { return Add(std::move(value)); }
  bool binary(json::binary_t&) override { return false; }
  bool start_object(std::size_t) override { return Open(json::object()); }
  bool start_array(std::size_t) override { return Open(json::array()); }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }

  bool key(std::string& name) override {
    if (open_.back().value->contains(name)) {
      out_.push_back({PointerTo(CurrentPointer(), name), DumpJson(name),
                      "each key only once"});
    }
    open_.back().key = std::move(name);
    return true;
  }

  bool parse_error(std::size_t position, const std::string&,
                   const nlohmann::detail::exception& error) override {
    const std::size_t at =
        std::min(position == 0 ? 0 : position - 1, text_.size());
    const std::string_view before = text_.substr(0, at);
    const auto lines = std::ranges::count(before, '\n');
    const std::size_t line_start = before.rfind('\n') + 1;  // npos + 1 is 0.
    // The parser reports a number that overflows, which is well-formed JSON,
    // with an error code of its own.
    constexpr int kNumberOverflow = 406;
    const std::string expected =
        error.id == kNumberOverflow ? "a number that fits in 64 bits" : "JSON";
    out_.push_back(
        {CurrentPointer(), DumpJson(CutText(text_.substr(at), kExcerptBytes)),
         expected + " in UTF-8 at line " + std::to_string(lines + 1) +
             ", byte " + std::to_string(at - line_start + 1)});
    return false;
  }

 private:
  struct level {
    json* value;
    std::string at;
    std::string key;  // Key of the next member.
  };

  std::string CurrentPointer() const {
    return open_.empty() ? "" : open_.back().at;
  }

  std::string NextPointer() const {
    if (open_.empty()) return "";
    const level& top = open_.back();
    return top.value->is_array() ? PointerTo(top.at, top.value->size())
                                 : PointerTo(top.at, top.key);
  }

  json* Insert(json value) {
    if (open_.empty()) {
      root_ = std::move(value);
      return &root_;
    }
    json& parent = *open_.back().value;
    if (parent.is_array()) return &parent.emplace_back(std::move(value));
    json& member = parent[open_.back().key];
    member = std::move(value);
    return &member;
  }

  bool Add(json value) {
    Insert(std::move(value));
    return true;
  }

  bool Open(json empty) {
    std::string at = NextPointer();
    if (open_.size() == kMaxJsonDepth) {
      out_.push_back({std::move(at), empty.is_array() ? "[" : "{",
                      "at most " + std::to_string(kMaxJsonDepth) +
                          " objects and arrays within one another"});
      return false;
    }
    json* inserted = Insert(std::move(empty));
    open_.push_back({.value = inserted, .at = std::move(at), .key = {}});
    return true;
  }

  bool Close() {
    open_.pop_back();
    return true;
  }

  std::string_view text_;
  validation_errors& out_;
  json root_;
  std::vector<level> open_;
};

void AddIntError(const json& value, const std::string& at,
                 validation_errors& out) {
  out.push_back({at, Excerpt(value),
                 "a whole number up to " +
                     std::to_string(std::numeric_limits<int>::max())});
}

// Returns the value if it is an integer that fits in an int, or adds an error.
std::optional<int> IntOrError(const json& value, const std::string& at,
                              validation_errors& out) {
  constexpr std::int64_t kMin = std::numeric_limits<int>::min();
  constexpr std::int64_t kMax = std::numeric_limits<int>::max();
  const bool fits =
      value.is_number_unsigned()
          ? value.get<std::uint64_t>() <= std::uint64_t{kMax}
          : value.is_number_integer() && value.get<std::int64_t>() >= kMin;
  if (!fits) {
    AddIntError(value, at, out);
    return {};
  }
  return value.get<int>();
}

}  // namespace

std::string DumpJson(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<json> ReadJson(std::string_view text, std::size_t max_bytes,
                             validation_errors& out) {
  if (text.size() > max_bytes) {
    out.push_back({"", std::to_string(text.size()) + " bytes",
                   "at most " + std::to_string(max_bytes) + " bytes"});
    return {};
  }
  document_builder builder(text, out);
  if (!json::sax_parse(text.begin(), text.end(), &builder)) return {};
  return builder.Take();
}

std::string PointerTo(std::string_view at, std::string_view token) {
  std::string pointer(at);
  pointer += '/';
  for (const char c : token) {
    if (c == '~') {
      pointer += "~0";
    } else if (c == '/') {
      pointer += "~1";
    } else {
      pointer += c;
    }
  }
  return pointer;
}

std::string PointerTo(std::string_view at, std::size_t index) {
  return PointerTo(at, std::to_string(index));
}

std::string Excerpt(const json& value) {
  const std::string text = DumpJson(value);
  const std::string_view cut = CutText(text, kExcerptBytes);
  return cut.size() == text.size() ? text : std::string(cut) + "...";
}

void ReadObject(const json& value, const std::string& at,
                std::initializer_list<field> fields, unknown_keys rule,
                validation_errors& out) {
  if (!value.is_object()) {
    out.push_back({at, Excerpt(value), "an object"});
    return;
  }
  for (const field& each : fields) {
    const auto found = value.find(each.name);
    if (found != value.end()) {
      each.read(*found, PointerTo(at, each.name), out);
    } else if (each.needed == presence::kRequired) {
      out.push_back({PointerTo(at, each.name), "", "a value; it is required"});
    }
  }
  if (rule == unknown_keys::kIgnored) return;
  for (const auto& [key, member] : value.items()) {
    if (std::ranges::find(fields, key, &field::name) == fields.end()) {
      out.push_back({PointerTo(at, key), Excerpt(member), "no such key"});
    }
  }
}

value_reader ReadText(std::string& to) {
  return
      [&to](const json& value, const std::string& at, validation_errors& out) {
        if (!value.is_string()) {
          out.push_back({at, Excerpt(value), "a string"});
          return;
        }
        to = value.get<std::string>();
      };
}

value_reader ReadBool(bool& to) {
  return
      [&to](const json& value, const std::string& at, validation_errors& out) {
        if (!value.is_boolean()) {
          out.push_back({at, Excerpt(value), "true or false"});
          return;
        }
        to = value.get<bool>();
      };
}

value_reader ReadInt(int& to) {
  return
      [&to](const json& value, const std::string& at, validation_errors& out) {
        to = IntOrError(value, at, out).value_or(to);
      };
}

value_reader ReadUint64(std::uint64_t& to) {
  return
      [&to](const json& value, const std::string& at, validation_errors& out) {
        if (!value.is_number_unsigned()) {
          out.push_back({at, Excerpt(value), "a whole number, not negative"});
          return;
        }
        to = value.get<std::uint64_t>();
      };
}

value_reader ReadDouble(double& to) {
  return
      [&to](const json& value, const std::string& at, validation_errors& out) {
        if (!value.is_number()) {
          out.push_back({at, Excerpt(value), "a number"});
          return;
        }
        to = value.get<double>();
      };
}

value_reader ReadMilliseconds(std::chrono::milliseconds& to) {
  return
      [&to](const json& value, const std::string& at, validation_errors& out) {
        const auto count = IntOrError(value, at, out);
        if (count) to = std::chrono::milliseconds(*count);
      };
}

value_reader ReadSeconds(std::chrono::seconds& to) {
  return
      [&to](const json& value, const std::string& at, validation_errors& out) {
        const auto count = IntOrError(value, at, out);
        if (count) to = std::chrono::seconds(*count);
      };
}

value_reader ReadTexts(std::vector<std::string>& to) {
  return ReadArray(
      to, [](const json& item, const std::string& at, std::string& text,
             validation_errors& out) { ReadText(text)(item, at, out); });
}

}  // namespace fireflyspar::config
