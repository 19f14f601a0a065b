#include "operators/time_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <optional>

namespace fireflyspar::operators {
namespace {

using std::chrono::days;
using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::string_view kTimePattern = "0000-00-00T00:00:00Z";

std::optional<int> ParseNumber(std::string_view text) {
  int number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const bool is_unsigned_integer =
      end == text.data() + text.size() && !text.starts_with('-');
  if (error != std::errc() || !is_unsigned_integer) return {};
  return number;
}

std::optional<seconds> ParseOffset(std::string_view text) {
  if (text.size() < 3) return {};
  const auto count = ParseNumber(text.substr(1, text.size() - 2));
  if (!count) return {};
  switch (text.back()) {
    case 's':
      return seconds(*count);
    case 'm':
      return minutes(*count);
    case 'h':
      return hours(*count);
    default:
      return {};
  }
}

bool MatchesPattern(std::string_view text) {
  return std::ranges::equal(text, kTimePattern, [](char c, char pattern_char) {
    return pattern_char == '0' ? c >= '0' && c <= '9' : c == pattern_char;
  });
}

std::optional<base::instant> ParseUtcTime(std::string_view text) {
  if (!MatchesPattern(text)) return {};
  const auto part = [&](std::size_t at, std::size_t size) {
    return ParseNumber(text.substr(at, size)).value_or(0);
  };
  const std::chrono::year_month_day date(
      std::chrono::year(part(0, 4)),
      std::chrono::month(static_cast<unsigned>(part(5, 2))),
      std::chrono::day(static_cast<unsigned>(part(8, 2))));
  const hours hour(part(11, 2));
  const minutes minute(part(14, 2));
  const seconds second(part(17, 2));
  const bool in_range =
      date.ok() && hour < days(1) && minute < hours(1) && second < minutes(1);
  if (!in_range) return {};
  return std::chrono::sys_days(date) + hour + minute + second;
}

}  // namespace

std::string FormatTime(base::instant at) {
  const auto day = std::chrono::floor<days>(at);
  const std::chrono::year_month_day date(day);
  const std::chrono::hh_mm_ss time(std::chrono::floor<seconds>(at - day));
  std::array<char, 32> text{};
  std::snprintf(
      text.data(), text.size(), "%04d-%02u-%02uT%02d:%02d:%02dZ",
      static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
      static_cast<unsigned>(date.day()), static_cast<int>(time.hours().count()),
      static_cast<int>(time.minutes().count()),
      static_cast<int>(time.seconds().count()));
  return text.data();
}

base::result<base::instant> ParseTime(std::string_view text,
                                      base::instant now) {
  if (text.starts_with('+')) {
    if (const auto after = ParseOffset(text)) return now + *after;
  } else if (const auto at = ParseUtcTime(text)) {
    return *at;
  }
  return base::Fail(base::error_kind::kBadSettings,
                    "'" + std::string(text) +
                        "' is not a time: expected UTC as in "
                        "2026-12-03T23:30:00Z, or relative to now as in +90s, "
                        "+15m or +2h");
}

}  // namespace fireflyspar::operators
