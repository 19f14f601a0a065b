// Times as operators write and read them: UTC, to the second.
#ifndef FIREFLYSPAR_OPERATORS_TIME_TEXT_H_
#define FIREFLYSPAR_OPERATORS_TIME_TEXT_H_

#include <string>
#include <string_view>

#include "base/hooks.h"
#include "base/result.h"

namespace fireflyspar::operators {

// "2026-12-03T23:30:00Z".
std::string TimeText(base::instant at);

// Reads what TimeText writes, or a time from now as in "+90s", "+15m", "+2h".
base::result<base::instant> ParseTime(std::string_view text, base::instant now);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_TIME_TEXT_H_
