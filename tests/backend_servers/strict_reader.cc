#include "strict_reader.h"

#include <algorithm>
#include <charconv>
#include <cstddef>

namespace fireflyspar::backend_servers {
namespace {

constexpr std::string_view kLineEnd = "\r\n";

bool IsDigit(char byte) { return byte >= '0' && byte <= '9'; }

bool IsTokenByte(char byte) {
  constexpr std::string_view kTokenBytes =
      "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
      "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
  return kTokenBytes.find(byte) != std::string_view::npos;
}

// Visible bytes, blanks, tabs and bytes above 0x7f.
bool IsTextByte(char byte) {
  constexpr unsigned char kFirstVisible = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto code = static_cast<unsigned char>(byte);
  return byte == '\t' || (code >= kFirstVisible && code != kDelete);
}

// Takes a line from the front of the bytes.
std::optional<std::string_view> TakeLine(std::string_view& bytes) {
  const std::size_t end = bytes.find(kLineEnd);
  if (end == std::string_view::npos) return std::nullopt;
  const std::string_view line = bytes.substr(0, end);
  bytes.remove_prefix(end + kLineEnd.size());
  return line;
}

std::optional<unsigned> ReadStatus(std::string_view line) {
  constexpr std::string_view kBegin = "HTTP/1.1 ";
  constexpr std::size_t kDigits = 3;
  if (!line.starts_with(kBegin)) return std::nullopt;
  line.remove_prefix(kBegin.size());
  const bool has_form = line.size() > kDigits && line[kDigits] == ' ' &&
                        std::ranges::all_of(line.substr(0, kDigits), IsDigit) &&
                        std::ranges::all_of(line, IsTextByte);
  if (!has_form) return std::nullopt;
  const std::string digits(line.substr(0, kDigits));
  unsigned status = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), status);
  constexpr unsigned kFirstFinal = 200;
  constexpr unsigned kLast = 599;
  const bool is_final = status >= kFirstFinal && status <= kLast;
  return is_final ? std::optional(status) : std::nullopt;
}

std::optional<std::pair<std::string, std::string>> ReadField(
    std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) return std::nullopt;
  const std::string_view name = line.substr(0, colon);
  std::string_view value = line.substr(colon + 1);
  const bool has_form = std::ranges::all_of(name, IsTokenByte) &&
                        std::ranges::all_of(value, IsTextByte);
  if (!has_form) return std::nullopt;
  const auto is_blank = [](char byte) { return byte == ' ' || byte == '\t'; };
  while (!value.empty() && is_blank(value.front())) value.remove_prefix(1);
  while (!value.empty() && is_blank(value.back())) value.remove_suffix(1);
  return std::pair(std::string(name), std::string(value));
}

bool IsNamed(const std::pair<std::string, std::string>& field,
             std::string_view lower_name) {
  const auto equals = [](char left, char right) {
    const bool is_upper = left >= 'A' && left <= 'Z';
    return (is_upper ? static_cast<char>(left - 'A' + 'a') : left) == right;
  };
  return std::ranges::equal(field.first, lower_name, equals);
}

// Returns the length that the fields name in plain form; nothing if they name
// none or several.
std::optional<std::size_t> LengthOf(const strict_answer& answer) {
  const auto is_length = [](const auto& each) {
    return IsNamed(each, "content-length");
  };
  if (std::ranges::count_if(answer.fields, is_length) != 1) return std::nullopt;
  const std::string& text =
      std::ranges::find_if(answer.fields, is_length)->second;
  const bool is_plain = !text.empty() && std::ranges::all_of(text, IsDigit) &&
                        (text.size() == 1 || text.front() != '0');
  if (!is_plain) return std::nullopt;
  std::size_t length = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), length);
  return parsed.ec == std::errc() ? std::optional(length) : std::nullopt;
}

}  // namespace

std::optional<strict_answer> ReadStrictly(std::string_view bytes,
                                          bool is_head_request) {
  strict_answer answer;
  const auto first = TakeLine(bytes);
  const auto status = first ? ReadStatus(*first) : std::nullopt;
  if (!status) return std::nullopt;
  answer.status = *status;
  for (;;) {
    const auto line = TakeLine(bytes);
    if (!line) return std::nullopt;
    if (line->empty()) break;
    auto field = ReadField(*line);
    if (!field || IsNamed(*field, "transfer-encoding")) return std::nullopt;
    answer.fields.push_back(*std::move(field));
  }
  answer.body = std::string(bytes);
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  const bool has_no_body = is_head_request || answer.status == kNoContent ||
                           answer.status == kNotModified;
  if (has_no_body) {
    return answer.body.empty() ? std::optional(answer) : std::nullopt;
  }
  const auto length = LengthOf(answer);
  return length == answer.body.size() ? std::optional(answer) : std::nullopt;
}

}  // namespace fireflyspar::backend_servers
