#include "decisions/version_rollout.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace fireflyspar::decisions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::steady_instant kStart{std::chrono::hours(1)};

rollout_order Order() {
  return {.created = {1},
          .service = "stock",
          .target_version = "v2",
          .period = seconds(16)};
}

// Returns a rollout whose versions have the given counts on one route.
version_rollout MakeRollout(run_counts old_counts, run_counts new_counts) {
  version_rollout rollout(Order(), kStart);
  rollout.Count("old-server", "v1", "r", {});
  rollout.Count("old-server", "v1", "r", old_counts);
  rollout.Count("new-server", "v2", "r", new_counts);
  return rollout;
}

TEST_CASE("the new version starts at the canary share") {
  CHECK(version_rollout(Order(), kStart).Share(kStart) == Approx(0.06));
}

TEST_CASE("without evidence the share does not grow") {
  CHECK(version_rollout(Order(), kStart).Share(kStart + seconds(15)) ==
        Approx(0.06));
}

TEST_CASE("a good version gets all requests before the period ends") {
  const version_rollout rollout = MakeRollout({.total = 500}, {.total = 60});
  CHECK(rollout.Share(kStart + seconds(12)) == 1);
  CHECK(rollout.IsComplete(kStart + seconds(13)));
}

TEST_CASE("a version that fails a third of its requests is rolled back early") {
  version_rollout rollout =
      MakeRollout({.total = 200, .failed = 1}, {.total = 12, .failed = 4});
  CHECK(rollout.Evaluate());
  CHECK(rollout.Share(kStart) == 0);
}

TEST_CASE(
    "a version that is slow far more often than the old one is rolled back") {
  version_rollout rollout =
      MakeRollout({.total = 200, .slow = 6}, {.total = 10, .slow = 7});
  CHECK(rollout.Evaluate());
}

// An overload, or responses that are lost on the network, affect both versions
// alike and must not roll back the new one.
TEST_CASE("failures that affect both versions alike cause no rollback") {
  version_rollout rollout =
      MakeRollout({.total = 200, .failed = 60}, {.total = 20, .failed = 7});
  CHECK_FALSE(rollout.Evaluate());
}

// Many successes on other routes must not hide a fault on one route.
TEST_CASE("a fault on one route is found despite successes on the others") {
  version_rollout rollout = MakeRollout({.total = 500}, {.total = 100});
  rollout.Count("old-server", "v1", "rare", {.total = 50});
  rollout.Count("new-server", "v2", "rare", {.total = 8, .failed = 5});
  CHECK(rollout.Evaluate());
}

// Some requests take longer than their route's timeout with any version. A
// proxy that has just started has few counts of its own on such a route, so the
// old version's whole history must count.
TEST_CASE("a route that has always failed causes no rollback") {
  version_rollout rollout(Order(), kStart);
  rollout.Count("old-server", "v1", "doomed", {.total = 60, .failed = 60});
  rollout.Count("old-server", "v1", "doomed", {.total = 61, .failed = 61});
  rollout.Count("new-server", "v2", "doomed", {.total = 6, .failed = 6});
  CHECK_FALSE(rollout.Evaluate());
}

TEST_CASE("a route without known requests of the old version is no evidence") {
  version_rollout rollout = MakeRollout({.total = 500}, {.total = 100});
  rollout.Count("new-server", "v2", "unknown", {.total = 6, .failed = 6});
  CHECK_FALSE(rollout.Evaluate());
}

TEST_CASE("an outdated report does not lower the counts") {
  version_rollout rollout =
      MakeRollout({.total = 100}, {.total = 20, .failed = 3});
  rollout.Count("new-server", "v2", "r", {.total = 5, .failed = 0});
  rollout.Count("new-server", "v2", "r", {.total = 21, .failed = 4});
  CHECK(rollout.Evaluate());
}

TEST_CASE("the outcome of a rollout never changes") {
  version_rollout rollout(Order(), kStart);
  rollout_order read = rollout.Order();
  read.state = rollout_state::kRolledBack;
  rollout.Update(read);
  read.state = rollout_state::kSucceeded;
  rollout.Update(read);
  CHECK(rollout.Order().state == rollout_state::kRolledBack);
}

// The new version fails only under load, so the fault shows only at the larger
// shares of the schedule. It must be found before the new version has run 10%
// of all requests.
TEST_CASE("a version that fails only at larger shares gets few requests") {
  version_rollout rollout(Order(), kStart);
  rollout.Count("old-server", "v1", "r", {});
  run_counts old_counts;
  run_counts new_counts;
  double new_call_credit = 0;
  bool is_found = false;
  constexpr int kPerSecond = 142;
  for (int i = 0; i < kPerSecond * 16; ++i) {
    const auto now =
        kStart + std::chrono::nanoseconds(seconds(16)) * i / (kPerSecond * 16);
    const double share = rollout.Share(now);
    new_call_credit += share;
    if (new_call_credit < 1) {
      ++old_counts.total;
      rollout.Count("old-server", "v1", "r", old_counts);
      continue;
    }
    new_call_credit -= 1;
    ++new_counts.total;
    const bool is_loaded = share > 0.2;
    if (is_loaded && new_counts.total % 3 == 0) ++new_counts.failed;
    rollout.Count("new-server", "v2", "r", new_counts);
    is_found = rollout.Evaluate() || is_found;
  }
  CHECK(is_found);
  CHECK(new_counts.total < kPerSecond * 16 / 10);
}

}  // namespace
}  // namespace fireflyspar::decisions
