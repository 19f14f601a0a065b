// The faults that the platform's stand-in can be told to show, and their JSON
// form: `{"slow_ms":200,"lose_answers":1}`. A field that is left out is off.
#ifndef FIREFLYSPAR_LAB_PLATFORM_FAULTS_H_
#define FIREFLYSPAR_LAB_PLATFORM_FAULTS_H_

#include <string_view>

#include "base/result.h"

namespace fireflyspar::lab {

struct platform_faults {
  bool down = false;     // Answers 503 to everything.
  bool hang = false;     // Takes requests and never answers.
  int refuse_ms = 0;     // Refuses connections for so long, once.
  int slow_ms = 0;       // Waits so long before each answer.
  int lose_answers = 0;  // So many writes take effect and are never answered.
  bool stale_watch = false;    // Watches give content from before the change.
  bool crossed_watch = false;  // Every second watch repeats an old answer, and
                               // the others come doubled and out of order.
  int reads_per_second = 0;    // Above these: 429; 0: no limit; negative: none.
  int writes_per_second = 0;
};

// Fails with kBadRequest, naming the field.
base::result<platform_faults> ParseFaults(std::string_view json_text);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_PLATFORM_FAULTS_H_
