#include "callers/call_counters.h"

#include <catch2/catch.hpp>

namespace fireflyspar::callers {
namespace {

TEST_CASE("calls are counted by listener and status") {
  base::metrics metrics;
  call_counters outside(&metrics, "outside");
  outside.Record(200, std::chrono::milliseconds(3));
  outside.Record(200, std::chrono::milliseconds(5));
  outside.Record(503, std::chrono::milliseconds(1));
  const std::string text = metrics.ToPrometheusText();
  const auto has = [&](const std::string& line) {
    return text.find(line) != std::string::npos;
  };
  CHECK(has("calls_total{listener=\"outside\",status=\"200\"} 2\n"));
  CHECK(has("calls_total{listener=\"outside\",status=\"503\"} 1\n"));
  CHECK(has("fireflyspar_call_seconds_count{listener=\"outside\"} 3\n"));
}

TEST_CASE("a status outside HTTP's range is counted within the array") {
  base::metrics metrics;
  call_counters outside(&metrics, "outside");
  outside.Record(60000, std::chrono::milliseconds(1));
  CHECK(metrics.Histogram("fireflyspar_call_seconds", "listener=\"outside\"")
            .Count() == 1);
}

}  // namespace
}  // namespace fireflyspar::callers
