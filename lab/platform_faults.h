// The faults that the platform's stand-in can inject, and their JSON form:
// `{"slow_ms":200,"lose_answers":1}`. A field that is left out is off.
#ifndef FIREFLYSPAR_LAB_PLATFORM_FAULTS_H_
#define FIREFLYSPAR_LAB_PLATFORM_FAULTS_H_

#include <string_view>

#include "base/result.h"

namespace fireflyspar::lab {

struct platform_faults {
  bool down = false;         // Answers 503 to every request.
  bool hang = false;         // Accepts requests and never answers them.
  int refuse_ms = 0;         // Time for which connections are refused, once.
  int slow_ms = 0;           // Delay before each answer.
  int lose_answers = 0;      // Next writes that take effect but get no answer.
  bool stale_watch = false;  // Watches return values from before the change.
  bool reordered_watch = false;  // Every second watch repeats an earlier
                                 // answer, and the others list each object
                                 // twice, first in reverse order.
  int reads_per_second = 0;      // Calls above this rate get 429; 0: no limit;
                                 // negative: no call is allowed.
  int writes_per_second = 0;     // Likewise.
};

// Parses the JSON form. Fails with kBadRequest when the text is not valid JSON,
// names an unknown fault or has a value of the wrong type. The error names an
// unknown fault.
base::result<platform_faults> ParseFaults(std::string_view json_text);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_PLATFORM_FAULTS_H_
