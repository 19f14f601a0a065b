// Counts the calls that a listener answers, by status, and records their
// latencies, in the metrics fireflyspar_calls_total{listener,status} and
// fireflyspar_call_seconds{listener}. Only the first call with a status looks
// its counter up by name.
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
  // Records nothing when `metrics` is null.
  call_counters(base::metrics* metrics, std::string_view listener);

  void Record(unsigned status, base::duration latency);

 private:
  // Greater than any HTTP status. A greater value counts as the last status.
  static constexpr unsigned kStatusCount = 600;

  base::counter& CounterOf(unsigned status);

  base::metrics* metrics_;
  std::string listener_label_;
  base::latency_histogram* latencies_ = nullptr;
  std::array<std::atomic<base::counter*>, kStatusCount> counters_{};
};

}  // namespace fireflyspar::callers

#endif  // FIREFLYSPAR_CALLERS_CALL_COUNTERS_H_
