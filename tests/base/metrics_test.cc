#include "base/metrics.h"

#include <catch2/catch.hpp>

namespace fireflyspar::base {
namespace {

TEST_CASE("counters and gauges appear in the text format with their labels") {
  metrics all;
  all.Counter("calls_total", "route=\"a\"").fetch_add(2);
  all.Gauge("version").store(7);
  const std::string text = all.ToPrometheusText();
  CHECK(text.find("calls_total{route=\"a\"} 2\n") != std::string::npos);
  CHECK(text.find("version 7\n") != std::string::npos);
}

TEST_CASE("a quantile differs from the true value by at most one bin width") {
  latency_histogram histogram;
  for (int milliseconds = 1; milliseconds <= 1000; ++milliseconds) {
    histogram.Record(std::chrono::milliseconds(milliseconds));
  }
  CHECK(histogram.Count() == 1000);
  // Bins are 5.2% wide, and a quantile is the upper edge of its bin.
  const auto p99 = histogram.Quantile(0.99);
  CHECK(p99 >= std::chrono::milliseconds(990));
  CHECK(p99 <= std::chrono::milliseconds(1045));
}

TEST_CASE("an empty histogram has a quantile of zero") {
  CHECK(latency_histogram().Quantile(0.99) == duration{0});
}

TEST_CASE("a latency outside the range of the bins is counted") {
  latency_histogram histogram;
  histogram.Record(duration{0});
  histogram.Record(std::chrono::hours(1));
  CHECK(histogram.Count() == 2);
}

}  // namespace
}  // namespace fireflyspar::base
