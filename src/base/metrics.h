// Counters, gauges and latency histograms, and their Prometheus text format.
// Counters and gauges are looked up by name under a lock and then updated
// without one; each histogram has its own lock, which is held only briefly.
#ifndef FIREFLYSPAR_BASE_METRICS_H_
#define FIREFLYSPAR_BASE_METRICS_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/hooks.h"

namespace fireflyspar::base {

using counter = std::atomic<std::int64_t>;

class latency_histogram;

class metrics {
 public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  // Returns the counter with this name and these labels, and creates it on
  // first use. The reference is valid for the lifetime of this object. `name`
  // is, for example, "fireflyspar_calls_total"; `labels` is empty or, for
  // example, `kind="push",seam="nodes"`.
  counter& Counter(std::string_view name, std::string_view labels = "");

  // Returns a gauge, in the same way as Counter. A gauge is set, not
  // incremented.
  counter& Gauge(std::string_view name, std::string_view labels = "");

  // Returns the histogram with this name and these labels. Its bins cover 10 us
  // to 100 s, and its values are written in seconds.
  latency_histogram& Histogram(std::string_view name,
                               std::string_view labels = "");

  // Returns all counters, then all gauges, then all histograms in the
  // Prometheus text format, each group sorted by name.
  std::string ToPrometheusText() const;

 private:
  struct tables;
  std::unique_ptr<tables> tables_;
};

// A latency histogram with logarithmic bins, each about 5% wide.
class latency_histogram {
 public:
  latency_histogram();
  ~latency_histogram();

  void Record(duration latency);

  std::int64_t Count() const;

  // Returns the latency below which the fraction `quantile`, in [0, 1], of all
  // records lies, rounded up to the edge of a bin. Returns zero if there are no
  // records.
  duration Quantile(double quantile) const;

 private:
  struct bins;
  std::unique_ptr<bins> bins_;
};

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_METRICS_H_
