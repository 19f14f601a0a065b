// Compiles the logging library, which is distributed as a source file. The
// macros must be the same as in base/log.cc.
#define ELPP_THREAD_SAFE
#define ELPP_NO_DEFAULT_LOG_FILE
#include <easylogging++.cc>  // NOLINT(bugprone-suspicious-include)
