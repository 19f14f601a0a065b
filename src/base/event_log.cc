#include "base/event_log.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

#include "base/log.h"

namespace fireflyspar::base {
namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;

void AppendTime(std::string& line, instant now) {
  const std::int64_t since = now.time_since_epoch().count();
  const std::time_t seconds = since / kMicrosecondsPerSecond;
  const int micros = static_cast<int>(since % kMicrosecondsPerSecond);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 40> text{};
  const int length = std::snprintf(
      text.data(), text.size(), "%04d-%02d-%02dT%02d:%02d:%02d.%06dZ",
      parts.tm_year + 1900, parts.tm_mon + 1, parts.tm_mday, parts.tm_hour,
      parts.tm_min, parts.tm_sec, micros);
  line.append(text.data(), static_cast<std::size_t>(std::max(0, length)));
}

}  // namespace

event_log::event_log(event_log_options options)
    : options_(std::move(options)) {}

void event_log::StartSecond(std::int64_t second) {
  current_second_ = second;
  lines_this_second_ = 0;
  if (dropped_unreported_ == 0) return;
  Append("lines_dropped", {{"count", std::to_string(dropped_unreported_)}});
  dropped_unreported_ = 0;
}

bool event_log::HasRoom(event_priority priority) {
  const std::int64_t second =
      options_.clock().time_since_epoch().count() / kMicrosecondsPerSecond;
  if (second != current_second_) StartSecond(second);
  if (pending_.size() >= options_.buffer_bytes) return false;
  switch (priority) {
    case event_priority::kSuccess:
      return lines_this_second_ < options_.lines_per_second / 2;
    case event_priority::kFailure:
      return lines_this_second_ < options_.lines_per_second;
    case event_priority::kStateChange:
      break;
  }
  return true;
}

void event_log::Append(std::string_view event,
                       std::initializer_list<event_field> fields) {
  AppendTime(pending_, options_.clock());
  pending_.push_back(' ');
  pending_.append(event);
  for (const event_field& field : fields) {
    pending_.push_back(' ');
    pending_.append(field.key);
    pending_.push_back('=');
    AppendLogValue(pending_, field.value);
  }
  pending_.push_back('\n');
}

bool event_log::ShouldWrite(event_priority priority) {
  if (HasRoom(priority)) return true;
  ++dropped_unreported_;
  ++dropped_total_;
  return false;
}

void event_log::Write(event_priority priority, std::string_view event,
                      std::initializer_list<event_field> fields) {
  if (!ShouldWrite(priority)) return;
  ++lines_this_second_;
  Append(event, fields);
}

void event_log::Flush() {
  if (pending_.empty()) return;
  const std::size_t taken = options_.write(pending_);
  pending_.erase(0, taken);
}

std::size_t WriteToStandardOutput(std::string_view bytes) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    pollfd ready{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) break;
    // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
    const std::size_t piece =
        std::min<std::size_t>(bytes.size() - written, PIPE_BUF);
    const ssize_t taken = ::write(STDOUT_FILENO, bytes.data() + written, piece);
    if (taken <= 0) break;
    written += static_cast<std::size_t>(taken);
  }
  return written;
}

}  // namespace fireflyspar::base
