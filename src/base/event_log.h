// Log lines for decisions, one for each that touches a request or changes what
// the process believes: `time event key=value ...` on standard output. Lines
// are gathered in memory and written in pieces that the reader has room for, so
// that nobody ever waits for a log. Each second has room for so many lines;
// those on failures may use all of it, those on successes half. What finds no
// room is counted and told in a line of its own.
#ifndef FIREFLYSPAR_BASE_EVENT_LOG_H_
#define FIREFLYSPAR_BASE_EVENT_LOG_H_

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

#include "base/hooks.h"

namespace fireflyspar::base {

enum class event_weight {
  kSuccess,  // A request that went as it should.
  kFailure,  // A request that was refused or failed.
  kState,    // A change of what the process believes; always kept.
};

struct event_field {
  std::string_view key;
  std::string value;
};

struct event_log_options {
  int lines_per_second = 200;
  std::size_t buffer_bytes = 65'536;
  // Writes what can be written without waiting; returns the bytes taken.
  std::function<std::size_t(std::string_view)> write;
  clock_hook clock;
};

class event_log {
 public:
  explicit event_log(event_log_options options);

  // Whether a line would be taken now; counts it as dropped if not. Spares the
  // making of lines that would be dropped.
  bool Takes(event_weight weight);

  void Write(event_weight weight, std::string_view event,
             std::initializer_list<event_field> fields);

  // Hands on what is in memory; to be called a few times a second.
  void Flush();

  std::uint64_t Dropped() const { return dropped_in_all_; }

 private:
  bool HasRoom(event_weight weight);
  void Append(std::string_view event,
              std::initializer_list<event_field> fields);
  void StartSecond(std::int64_t second);

  event_log_options options_;
  std::string pending_;
  std::int64_t second_ = 0;
  int lines_ = 0;  // In this second.
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_in_all_ = 0;
};

// A `write` hook for standard output that never blocks.
std::size_t WriteToStandardOutput(std::string_view bytes);

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_EVENT_LOG_H_
