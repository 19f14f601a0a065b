// A log of decisions, with one line for each decision on a request and for each
// change of the process's state: `time event key=value ...` on standard output.
// Lines are buffered in memory and written only as far as the output accepts
// them without blocking, so that no thread ever waits for the log. The number
// of lines per second is limited: failures may use the whole limit and
// successes half of it, while state changes are exempt. A full buffer drops
// lines of every kind. Dropped lines are counted, and the count is logged as a
// separate event.
#ifndef FIREFLYSPAR_BASE_EVENT_LOG_H_
#define FIREFLYSPAR_BASE_EVENT_LOG_H_

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

#include "base/hooks.h"

namespace fireflyspar::base {

enum class event_priority {
  kSuccess,      // A request that succeeded.
  kFailure,      // A request that was refused or failed.
  kStateChange,  // A change of the process's state; exempt from the rate limit.
};

struct event_field {
  std::string_view key;
  std::string value;
};

struct event_log_options {
  int lines_per_second = 200;
  std::size_t buffer_bytes = 65'536;
  // Writes as many bytes as possible without blocking and returns their number.
  std::function<std::size_t(std::string_view)> write;
  clock_hook clock;
};

class event_log {
 public:
  explicit event_log(event_log_options options);

  // Returns whether a line would be kept now, and counts it as dropped if not.
  // Lets the caller avoid formatting a line that would be dropped.
  bool ShouldWrite(event_priority priority);

  void Write(event_priority priority, std::string_view event,
             std::initializer_list<event_field> fields);

  // Writes the buffered lines. Must be called a few times a second.
  void Flush();

  std::uint64_t DroppedLines() const { return dropped_total_; }

 private:
  bool HasRoom(event_priority priority);
  void Append(std::string_view event,
              std::initializer_list<event_field> fields);
  void StartSecond(std::int64_t second);

  event_log_options options_;
  std::string pending_;
  std::int64_t current_second_ = 0;
  int lines_this_second_ = 0;  // Lines that Write added in the current second.
  std::uint64_t dropped_unreported_ = 0;
  std::uint64_t dropped_total_ = 0;
};

// Writes to standard output without blocking; a `write` hook for
// event_log_options. Returns the number of bytes written.
std::size_t WriteToStandardOutput(std::string_view bytes);

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_EVENT_LOG_H_
