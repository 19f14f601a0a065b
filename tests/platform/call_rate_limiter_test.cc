#include "platform/call_rate_limiter.h"

#include <catch2/catch.hpp>

#include "platform/backoff.h"
#include "platform_fixture.h"

namespace fireflyspar::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a call limit allows a burst and then the configured rate") {
  base::instant now{};
  call_rate_limiter budget({.clock = [&now] { return now; },
                            .reads = {.per_second = 2, .burst = 3},
                            .writes = {.per_second = 1, .burst = 1}});
  for (int i = 0; i < 3; ++i) CHECK(budget.TryAcquireRead());
  CHECK_FALSE(budget.TryAcquireRead());
  CHECK(budget.TryAcquireWrite());
  now += milliseconds{500};
  CHECK(budget.TryAcquireRead());
  CHECK_FALSE(budget.TryAcquireRead());
  CHECK_FALSE(budget.TryAcquireWrite());
  now -= seconds{100};  // A clock that goes back adds no tokens.
  CHECK_FALSE(budget.TryAcquireRead());
}

TEST_CASE("a call over the process's own limit is not sent") {
  platform_fixture f;
  call_rate_limiter budget({.clock = [] { return base::instant{}; },
                            .reads = {.per_second = 1, .burst = 1},
                            .writes = {.per_second = 1, .burst = 0}});
  const object_api api = f.Client(milliseconds{10'000}, &budget);
  CHECK(api.list(""));
  CHECK(api.get("k").Failure().Kind() == base::error_kind::kPlatformOverRate);
  CHECK(api.put("k", "v", 0).Failure().Kind() ==
        base::error_kind::kPlatformOverRate);
  CHECK(f.stand_in.Stats().calls.size() == 1);
  CHECK(f.metrics.Counter("fireflyspar_platform_calls_held_back_total") == 2);
}

TEST_CASE(
    "backoff delays are random below a limit that doubles up to its maximum") {
  backoff retry({.first = milliseconds{100}, .most = milliseconds{350}},
                [] { return ~std::uint64_t{0}; });
  const auto nearly = [](base::duration wait, milliseconds limit) {
    return wait <= limit && wait >= limit - milliseconds{1};
  };
  CHECK(nearly(retry.Next(), milliseconds{100}));
  CHECK(nearly(retry.Next(), milliseconds{200}));
  CHECK(nearly(retry.Next(), milliseconds{350}));
  CHECK(nearly(retry.Next(), milliseconds{350}));
  retry.Reset();
  CHECK(nearly(retry.Next(), milliseconds{100}));
  backoff none({}, [] { return std::uint64_t{0}; });
  CHECK(none.Next() == base::duration{0});
}

}  // namespace
}  // namespace fireflyspar::platform
