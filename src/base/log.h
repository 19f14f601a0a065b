// Structured log lines, one for each change of state and none for each call;
// what happens often is counted in base/metrics.h instead. A line is
// `time level event key=value ...`, with values quoted where they need it.
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

// Sets up the logger, once, at the start of a process. Lines go to standard
// error. `level`: the least level that is written.
void StartLog(log_level level);

// Appends a field's value, in quotes where it needs them; control characters
// become spaces.
void AppendLogValue(std::string& line, std::string_view value);

// Writes one line. `event` is a stable name in snake case.
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
