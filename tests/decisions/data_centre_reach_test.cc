#include "decisions/data_centre_reach.h"

#include <catch2/catch.hpp>

namespace fireflyspar::decisions {
namespace {

using std::chrono::milliseconds;

constexpr base::steady_instant kNow{std::chrono::hours(1)};

// Guards against slow requests when a data centre is cut off: each of its gates
// used to delay one request by a failed connect.
TEST_CASE("a data centre is cut off after two of its gates fail in a row") {
  data_centre_reach reach;
  reach.OnUnreachable("south", "gate-1", kNow);
  CHECK_FALSE(reach.IsCutOff("south", kNow));
  reach.OnUnreachable("south", "gate-2", kNow + milliseconds(100));
  CHECK(reach.IsCutOff("south", kNow + milliseconds(100)));
  CHECK_FALSE(reach.IsCutOff("north", kNow + milliseconds(100)));
}

TEST_CASE("repeated failures of a single gate do not cut off its data centre") {
  data_centre_reach reach;
  reach.OnUnreachable("south", "gate-1", kNow);
  reach.OnUnreachable("south", "gate-1", kNow + milliseconds(300));
  CHECK_FALSE(reach.IsCutOff("south", kNow + milliseconds(300)));
}

// Guards against avoiding a whole data centre when half of all instances lose
// power while others of the same data centre still answer.
TEST_CASE("an answer from a data centre clears its earlier failures") {
  data_centre_reach reach;
  reach.OnUnreachable("south", "gate-1", kNow);
  reach.OnReachable("south");
  reach.OnUnreachable("south", "gate-2", kNow);
  CHECK_FALSE(reach.IsCutOff("south", kNow));
}

TEST_CASE("a data centre is tried again after the avoidance time") {
  data_centre_reach reach;
  reach.OnUnreachable("south", "gate-1", kNow);
  reach.OnUnreachable("south", "gate-2", kNow);
  CHECK_FALSE(reach.IsCutOff("south", kNow + milliseconds(1100)));
}

TEST_CASE("without an answer in between, one more failure cuts it off again") {
  data_centre_reach reach;
  reach.OnUnreachable("south", "gate-1", kNow);
  reach.OnUnreachable("south", "gate-2", kNow);
  const auto later = kNow + milliseconds(1500);
  reach.OnUnreachable("south", "gate-3", later);
  CHECK(reach.IsCutOff("south", later));
}

TEST_CASE("old failures do not count") {
  data_centre_reach reach;
  reach.OnUnreachable("south", "gate-1", kNow);
  const auto later = kNow + milliseconds(2500);
  reach.OnUnreachable("south", "gate-2", later);
  CHECK_FALSE(reach.IsCutOff("south", later));
}

}  // namespace
}  // namespace fireflyspar::decisions
