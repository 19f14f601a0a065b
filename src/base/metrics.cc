#include "base/metrics.h"

#include <array>
#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <sstream>
#include <tuple>

namespace fireflyspar::base {
namespace {

using log_axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

constexpr unsigned kBins = 320;
constexpr double kMinSeconds = 1e-5;
constexpr double kMaxSeconds = 100;
constexpr double kMicrosecondsPerSecond = 1e6;

std::string Key(std::string_view name, std::string_view labels) {
  std::string key(name);
  if (!labels.empty()) key.append("{").append(labels).append("}");
  return key;
}

// Adds a label to the key "name" or "name{labels}".
std::string WithLabel(const std::string& key, const std::string& label) {
  if (key.ends_with('}')) {
    return key.substr(0, key.size() - 1) + "," + label + "}";
  }
  return key + "{" + label + "}";
}

std::string WithSuffix(const std::string& key, std::string_view suffix) {
  const std::size_t brace = key.find('{');
  if (brace == std::string::npos) return key + std::string(suffix);
  return key.substr(0, brace) + std::string(suffix) + key.substr(brace);
}

}  // namespace

struct latency_histogram::bins {
  mutable std::mutex mutex;
  decltype(boost::histogram::make_histogram(
      log_axis(kBins, kMinSeconds, kMaxSeconds))) histogram =
      boost::histogram::make_histogram(
          log_axis(kBins, kMinSeconds, kMaxSeconds));
  std::int64_t count = 0;
  double sum_seconds = 0;
};

latency_histogram::latency_histogram() : bins_(std::make_unique<bins>()) {}
latency_histogram::~latency_histogram() = default;

void latency_histogram::Record(duration latency) {
  const double seconds =
      static_cast<double>(latency.count()) / kMicrosecondsPerSecond;
  const std::lock_guard lock(bins_->mutex);
  bins_->histogram(std::max(seconds, kMinSeconds));
  ++bins_->count;
  bins_->sum_seconds += seconds;
}

std::int64_t latency_histogram::Count() const {
  const std::lock_guard lock(bins_->mutex);
  return bins_->count;
}

duration latency_histogram::Quantile(double quantile) const {
  const std::lock_guard lock(bins_->mutex);
  if (bins_->count == 0) return duration{0};
  const double target_count = quantile * static_cast<double>(bins_->count);
  double cumulative_count = 0;
  const auto& axis = bins_->histogram.axis(0);
  for (int bin = 0; bin < axis.size(); ++bin) {
    cumulative_count += bins_->histogram.at(bin);
    if (cumulative_count >= target_count) {
      return duration(static_cast<std::int64_t>(axis.bin(bin).upper() *
                                                kMicrosecondsPerSecond));
    }
  }
  return duration(
      static_cast<std::int64_t>(kMaxSeconds * kMicrosecondsPerSecond));
}

struct metrics::tables {
  mutable std::mutex mutex;
  std::map<std::string, counter> counters;
  std::map<std::string, counter> gauges;
  std::map<std::string, latency_histogram> histograms;
};

metrics::metrics() : tables_(std::make_unique<tables>()) {}
metrics::~metrics() = default;

counter& metrics::Counter(std::string_view name, std::string_view labels) {
  const std::lock_guard lock(tables_->mutex);
  return tables_->counters[Key(name, labels)];
}

counter& metrics::Gauge(std::string_view name, std::string_view labels) {
  const std::lock_guard lock(tables_->mutex);
  return tables_->gauges[Key(name, labels)];
}

latency_histogram& metrics::Histogram(std::string_view name,
                                      std::string_view labels) {
  const std::lock_guard lock(tables_->mutex);
  return tables_->histograms[Key(name, labels)];
}

std::string metrics::ToPrometheusText() const {
  constexpr std::array kQuantiles = {0.5, 0.99, 0.999};
  const std::lock_guard lock(tables_->mutex);
  std::ostringstream out;
  for (const auto* table : {&tables_->counters, &tables_->gauges}) {
    for (const auto& [key, value] : *table) {
      out << key << ' ' << value.load() << '\n';
    }
  }
  for (const auto& [key, histogram] : tables_->histograms) {
    for (const double quantile : kQuantiles) {
      std::ostringstream label;
      label << "quantile=\"" << quantile << '"';
      out << WithLabel(key, label.str()) << ' '
          << static_cast<double>(histogram.Quantile(quantile).count()) /
                 kMicrosecondsPerSecond
          << '\n';
    }
    out << WithSuffix(key, "_count") << ' ' << histogram.Count() << '\n';
  }
  return out.str();
}

}  // namespace fireflyspar::base
