#include "callers/call_counters.h"

#include <algorithm>

namespace fireflyspar::callers {

call_counters::call_counters(base::metrics* metrics, std::string_view listener)
    : metrics_(metrics),
      listener_label_("listener=\"" + std::string(listener) + "\"") {
  if (metrics_ == nullptr) return;
  latencies_ =
      &metrics_->Histogram("fireflyspar_call_seconds", listener_label_);
}

void call_counters::Record(unsigned status, base::duration latency) {
  if (metrics_ == nullptr) return;
  CounterOf(std::min(status, kStatusCount - 1)).fetch_add(1);
  latencies_->Record(latency);
}

// Two threads that record a new status at the same time get the same counter
// from `metrics_`, so the race between them is harmless.
base::counter& call_counters::CounterOf(unsigned status) {
  base::counter* existing = counters_[status].load();
  if (existing != nullptr) return *existing;
  base::counter& counter = metrics_->Counter(
      "fireflyspar_calls_total",
      listener_label_ + ",status=\"" + std::to_string(status) + "\"");
  counters_[status].store(&counter);
  return counter;
}

}  // namespace fireflyspar::callers
