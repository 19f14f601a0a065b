#include "proxy/header_words.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace fireflyspar::proxy {
namespace {

constexpr std::string_view kEmpty = "-";

constexpr char kEscape = '%';
constexpr int kHexBase = 16;
constexpr std::size_t kHexDigits = 2;

// Names come from documents and may hold any byte, but a header's value may not
// hold control characters, and a space would end the word.
bool MustEscape(char c) {
  constexpr char kFirstPrintable = '!';
  constexpr char kLastPrintable = '~';
  return c < kFirstPrintable || c > kLastPrintable || c == kEscape;
}

std::string Escape(std::string_view word) {
  if (word == kEmpty) return "%2d";
  std::string escaped;
  for (const char each : word) {
    if (!MustEscape(each)) {
      escaped.push_back(each);
      continue;
    }
    constexpr std::string_view kDigits = "0123456789abcdef";
    const auto byte = static_cast<unsigned char>(each);
    escaped.push_back(kEscape);
    escaped.push_back(kDigits[byte / kHexBase]);
    escaped.push_back(kDigits[byte % kHexBase]);
  }
  return escaped;
}

// Returns nothing if an escape is malformed.
std::optional<std::string> Unescape(std::string_view word) {
  std::string plain;
  for (std::size_t at = 0; at < word.size(); ++at) {
    if (word[at] != kEscape) {
      plain.push_back(word[at]);
      continue;
    }
    const std::string_view digits = word.substr(at + 1, kHexDigits);
    unsigned byte = 0;
    const char* const begin = digits.data();
    const char* const end = begin + digits.size();
    const auto parsed = std::from_chars(begin, end, byte, kHexBase);
    const bool is_whole = digits.size() == kHexDigits &&
                          parsed.ec == std::errc() && parsed.ptr == end;
    if (!is_whole) return std::nullopt;
    plain.push_back(static_cast<char>(byte));
    at += kHexDigits;
  }
  return plain;
}

}  // namespace

word_writer& word_writer::Add(std::string_view word) {
  if (!text_.empty()) text_.push_back(' ');
  if (word.empty()) {
    text_.append(kEmpty);
  } else {
    text_.append(Escape(word));
  }
  return *this;
}

std::string word_reader::Word() {
  const std::size_t end = std::min(text_.find(' '), text_.size());
  const std::string_view word = text_.substr(0, end);
  text_.remove_prefix(std::min(end + 1, text_.size()));
  if (word.empty()) ok_ = false;
  if (word == kEmpty) return {};
  const auto plain = Unescape(word);
  if (!plain) ok_ = false;
  return plain.value_or(std::string());
}

std::int64_t word_reader::Number() {
  const std::string word = Word();
  std::int64_t number = 0;
  const char* end = word.data() + word.size();
  const auto parsed = std::from_chars(word.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) ok_ = false;
  return number;
}

}  // namespace fireflyspar::proxy
