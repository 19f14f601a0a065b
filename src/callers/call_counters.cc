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
  CounterOf(std::min(status, kStatuses - 1)).fetch_add(1);
  latencies_->Record(latency);
}

// Two threads that see a status first at once find the same counter.
base::counter& call_counters::CounterOf(unsigned status) {
  base::counter* known = counters_[status].load();
  if (known != nullptr) return *known;
  base::counter& found = metrics_->Counter(
      "fireflyspar_calls_total",
      listener_label_ + ",status=\"" + std::to_string(status) + "\"");
  counters_[status].store(&found);
  return found;
}

}  // namespace fireflyspar::callers
