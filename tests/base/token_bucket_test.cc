#include "base/token_bucket.h"

#include <catch2/catch.hpp>

#include "base/retry_delay.h"

namespace fireflyspar::base {
namespace {

constexpr instant kStart{std::chrono::hours(1)};

TEST_CASE("a bucket allows its burst, then its rate") {
  constexpr bucket_rate kRate{.per_second = 2, .burst = 3};
  token_bucket bucket;
  for (int call = 0; call < 3; ++call) CHECK(bucket.Take(kRate, kStart));
  CHECK_FALSE(bucket.Take(kRate, kStart));
  CHECK(bucket.Take(kRate, kStart + std::chrono::milliseconds(500)));
  CHECK_FALSE(bucket.Take(kRate, kStart + std::chrono::milliseconds(600)));
}

TEST_CASE("a bucket is full at its first use, even at time zero") {
  token_bucket bucket;
  CHECK(bucket.Take({.per_second = 1, .burst = 1}, instant{}));
}

TEST_CASE("a clock that goes backwards adds no tokens") {
  constexpr bucket_rate kRate{.per_second = 1, .burst = 1};
  token_bucket bucket;
  CHECK(bucket.Take(kRate, kStart));
  CHECK_FALSE(bucket.Take(kRate, kStart - std::chrono::seconds(10)));
  CHECK_FALSE(bucket.Take(kRate, kStart));
  CHECK(bucket.Take(kRate, kStart + std::chrono::seconds(1)));
}

TEST_CASE("the limit of a retry delay doubles up to the maximum") {
  constexpr duration kInitialDelay = std::chrono::milliseconds(200);
  constexpr duration kMaxDelay = std::chrono::seconds(2);
  constexpr std::uint64_t kGreatestDraw = ~std::uint64_t{0};
  for (const auto& [failures, limit] :
       {std::pair{0, 200}, {1, 400}, {3, 1600}, {4, 2000}, {1'000'000, 2000}}) {
    const duration delay =
        RetryDelay(failures, kInitialDelay, kMaxDelay, kGreatestDraw);
    CHECK(delay < std::chrono::milliseconds(limit));
    CHECK(delay > std::chrono::milliseconds(limit - 1));
  }
  CHECK(RetryDelay(3, kInitialDelay, kMaxDelay, 0) == duration{0});
}

}  // namespace
}  // namespace fireflyspar::base
