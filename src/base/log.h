// Structured logging of state changes. Calls are not logged: frequent events
// are counted in base/metrics.h instead. The format of a line is
// `time level event key=value ...`, with values in quotes where needed.
#ifndef FIREFLYSPAR_BASE_LOG_H_
#define FIREFLYSPAR_BASE_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>

namespace fireflyspar::base {

enum class log_level { kDebug, kInfo, kWarning, kError };

struct log_field {
  std::string_view key;
  std::string value;
};

// Configures the logger; called once, when the process starts. Lines go to
// standard error. Lines below `level` are not written.
void InitLogging(log_level level);

// Appends a field's value to `line`. Values that are empty or contain spaces,
// control characters, '"', '=' or '\\' are put in quotes; '"' and '\\' are
// escaped with a backslash, and control characters are replaced by spaces.
void AppendLogValue(std::string& line, std::string_view value);

// Writes one line. `event` is a stable name in snake_case.
void Log(log_level level, std::string_view event,
         std::initializer_list<log_field> fields);

inline void LogInfo(std::string_view event,
                    std::initializer_list<log_field> fields) {
  Log(log_level::kInfo, event, fields);
}

inline void LogWarning(std::string_view event,
                       std::initializer_list<log_field> fields) {
  Log(log_level::kWarning, event, fields);
}

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_LOG_H_
