// Counters and latency histograms, and their Prometheus text form. Counters are
// registered once by name and then bumped without a lock; a histogram takes one
// short lock of its own.
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

  // The counter of that name and label, made on first use; the reference stays
  // good for this object's life. `name` as in "fireflyspar_calls_total",
  // `labels` as in `kind="push",seam="nodes"` or empty.
  counter& Counter(std::string_view name, std::string_view labels = "");

  // A gauge: as a counter, but set rather than added to.
  counter& Gauge(std::string_view name, std::string_view labels = "");

  // The histogram of that name, in seconds from 10 us to 100 s.
  latency_histogram& Histogram(std::string_view name,
                               std::string_view labels = "");

  // Everything in the Prometheus text form, sorted by name.
  std::string ToPrometheusText() const;

 private:
  struct tables;
  std::unique_ptr<tables> tables_;
};

// A latency distribution over logarithmic bins, about 5% wide.
class latency_histogram {
 public:
  latency_histogram();
  ~latency_histogram();

  void Record(duration latency);

  std::int64_t Count() const;

  // The latency that the share `quantile`, in [0, 1], of all records is below;
  // zero when there are none.
  duration Quantile(double quantile) const;

 private:
  struct bins;
  std::unique_ptr<bins> bins_;
};

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_METRICS_H_
