// Counts the calls that a listener answers, by status, and their latencies:
// fireflyspar_calls_total{listener,status} and
// fireflyspar_call_seconds{listener}. A call costs no look-up by name once its
// status was seen before.
#ifndef FIREFLYSPAR_CALLERS_CALL_COUNTERS_H_
#define FIREFLYSPAR_CALLERS_CALL_COUNTERS_H_

#include <array>
#include <atomic>
#include <string>
#include <string_view>

#include "base/hooks.h"
#include "base/metrics.h"

namespace fireflyspar::callers {

class call_counters {
 public:
  // Without `metrics` nothing is counted.
  call_counters(base::metrics* metrics, std::string_view listener);

  void Record(unsigned status, base::duration latency);

 private:
  static constexpr unsigned kStatuses = 600;  // HTTP's are below.

  base::counter& CounterOf(unsigned status);

  base::metrics* metrics_;
  std::string listener_label_;
  base::latency_histogram* latencies_ = nullptr;
  std::array<std::atomic<base::counter*>, kStatuses> counters_{};
};

}  // namespace fireflyspar::callers

#endif  // FIREFLYSPAR_CALLERS_CALL_COUNTERS_H_
