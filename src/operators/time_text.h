// Formats and parses times for operators: in UTC, to the second.
#ifndef FIREFLYSPAR_OPERATORS_TIME_TEXT_H_
#define FIREFLYSPAR_OPERATORS_TIME_TEXT_H_

#include <string>
#include <string_view>

#include "base/hooks.h"
#include "base/result.h"

namespace fireflyspar::operators {

// Formats a time as in "2026-12-03T23:30:00Z".
std::string FormatTime(base::instant at);

// Parses a time in the format of FormatTime, or one relative to now as in
// "+90s", "+15m" or "+2h".
base::result<base::instant> ParseTime(std::string_view text, base::instant now);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_TIME_TEXT_H_
