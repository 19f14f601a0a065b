#include "decisions/data_centre_reach.h"

#include <catch2/catch.hpp>

namespace fireflyspar::decisions {
namespace {

using std::chrono::milliseconds;

constexpr base::steady_instant kNow{std::chrono::hours(1)};

// The pattern: a data centre is cut off. Each of its gates cost one request the
// time of a failed connect.
TEST_CASE("two gates that fail in a row tell of their data centre") {
  data_centre_reach reach;
  reach.OnUnreachable("south", "gate-1", kNow);
  CHECK_FALSE(reach.IsCutOff("south", kNow));
  reach.OnUnreachable("south", "gate-2", kNow + milliseconds(100));
  CHECK(reach.IsCutOff("south", kNow + milliseconds(100)));
  CHECK_FALSE(reach.IsCutOff("north", kNow + milliseconds(100)));
}

TEST_CASE("one gate that fails again and again tells only of itself") {
  data_centre_reach reach;
  reach.OnUnreachable("south", "gate-1", kNow);
  reach.OnUnreachable("south", "gate-1", kNow + milliseconds(300));
  CHECK_FALSE(reach.IsCutOff("south", kNow + milliseconds(300)));
}

// The pattern: half of all machines lose their power; others of the same data
// centre go on answering.
TEST_CASE("an answer from the data centre clears it") {
  data_centre_reach reach;
  reach.OnUnreachable("south", "gate-1", kNow);
  reach.OnReachable("south");
  reach.OnUnreachable("south", "gate-2", kNow);
  CHECK_FALSE(reach.IsCutOff("south", kNow));
}

TEST_CASE("a data centre is tried again after a while") {
  data_centre_reach reach;
  reach.OnUnreachable("south", "gate-1", kNow);
  reach.OnUnreachable("south", "gate-2", kNow);
  CHECK_FALSE(reach.IsCutOff("south", kNow + milliseconds(1100)));
}

TEST_CASE("while it stays silent, one more failure is enough") {
  data_centre_reach reach;
  reach.OnUnreachable("south", "gate-1", kNow);
  reach.OnUnreachable("south", "gate-2", kNow);
  const auto later = kNow + milliseconds(1500);
  reach.OnUnreachable("south", "gate-3", later);
  CHECK(reach.IsCutOff("south", later));
}

TEST_CASE("failures of long ago don't count") {
  data_centre_reach reach;
  reach.OnUnreachable("south", "gate-1", kNow);
  const auto later = kNow + milliseconds(2500);
  reach.OnUnreachable("south", "gate-2", later);
  CHECK_FALSE(reach.IsCutOff("south", later));
}

}  // namespace
}  // namespace fireflyspar::decisions
