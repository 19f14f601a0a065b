// The logging library comes as a source file that is compiled into its user,
// with the same switches as in base/log.cc.
#define ELPP_THREAD_SAFE
#define ELPP_NO_DEFAULT_LOG_FILE
#include <easylogging++.cc>  // NOLINT(bugprone-suspicious-include)
