#include "decisions/cold_start.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace fireflyspar::decisions {
namespace {

using std::chrono::seconds;

const base::steady_instant kNow{std::chrono::hours(1)};
constexpr double kColdLimit = 7;

TEST_CASE("a server is cold until the time that it reported") {
  cold_start tested;
  tested.Restart(kNow + seconds(3));
  CHECK(tested.Limit(kColdLimit, std::nullopt, kNow) == kColdLimit);
  CHECK_FALSE(tested.Limit(kColdLimit, std::nullopt, kNow + seconds(3)));
}

TEST_CASE("the lower of two limits holds") {
  cold_start tested;
  tested.Restart(kNow + seconds(3));
  CHECK(tested.Limit(kColdLimit, 2.0, kNow) == 2.0);
  CHECK(tested.Limit(kColdLimit, 20.0, kNow) == kColdLimit);
  CHECK(tested.Limit(std::nullopt, 20.0, kNow) == 20.0);
}

// Guards against the load of a whole data centre on servers that became cold
// after their last report, which may also arrive late.
TEST_CASE("a later report of the same start does not end the uncertainty") {
  cold_start tested;
  tested.Restart(kNow);
  tested.OnUncertain();
  tested.OnReport(kNow);
  CHECK(tested.IsCold(kNow));
  tested.OnAnswer(kNow + seconds(1));
  CHECK(tested.IsCold(kNow));
  CHECK_FALSE(tested.IsCold(kNow + seconds(1)));
}

TEST_CASE("a report of a new start ends the uncertainty") {
  cold_start tested;
  tested.OnUncertain();
  tested.Restart(kNow + seconds(1));
  CHECK_FALSE(tested.IsUncertain());
  CHECK_FALSE(tested.IsCold(kNow + seconds(2)));
}

}  // namespace
}  // namespace fireflyspar::decisions
