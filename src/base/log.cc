#include "base/log.h"

#define ELPP_THREAD_SAFE
#define ELPP_NO_DEFAULT_LOG_FILE
#include <easylogging++.h>

#include <algorithm>

INITIALIZE_EASYLOGGINGPP

namespace fireflyspar::base {
namespace {

el::Level ToLibraryLevel(log_level level) {
  switch (level) {
    case log_level::kDebug:
      return el::Level::Debug;
    case log_level::kInfo:
      return el::Level::Info;
    case log_level::kWarning:
      return el::Level::Warning;
    case log_level::kError:
      return el::Level::Error;
  }
  return el::Level::Info;
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() || std::ranges::any_of(value, [](char c) {
           return c <= ' ' || c == '"' || c == '=' || c == '\\';
         });
}

}  // namespace

void AppendLogValue(std::string& line, std::string_view value) {
  if (!NeedsQuotes(value)) {
    line.append(value);
    return;
  }
  line.push_back('"');
  for (const char c : value) {
    if (c == '"' || c == '\\') line.push_back('\\');
    line.push_back(c < ' ' ? ' ' : c);
  }
  line.push_back('"');
}

void InitLogging(log_level level) {
  el::Configurations settings;
  settings.setToDefault();
  settings.setGlobally(el::ConfigurationType::Format,
                       "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  settings.setGlobally(el::ConfigurationType::ToFile, "false");
  settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  settings.setGlobally(el::ConfigurationType::Enabled, "true");
  for (const log_level each : {log_level::kDebug, log_level::kInfo,
                               log_level::kWarning, log_level::kError}) {
    settings.set(ToLibraryLevel(each), el::ConfigurationType::Enabled,
                 each >= level ? "true" : "false");
  }
  el::Loggers::reconfigureAllLoggers(settings);
}

void Log(log_level level, std::string_view event,
         std::initializer_list<log_field> fields) {
  std::string line(event);
  for (const log_field& field : fields) {
    line.push_back(' ');
    line.append(field.key);
    line.push_back('=');
    AppendLogValue(line, field.value);
  }
  switch (level) {
    case log_level::kDebug:
      LOG(DEBUG) << line;
      break;
    case log_level::kInfo:
      LOG(INFO) << line;
      break;
    case log_level::kWarning:
      LOG(WARNING) << line;
      break;
    case log_level::kError:
      LOG(ERROR) << line;
      break;
  }
}

}  // namespace fireflyspar::base
