#include "decisions/version_trial.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace fireflyspar::decisions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::steady_instant kStart{std::chrono::hours(1)};

trial_order Order() {
  return {.id = 1,
          .service = "stock",
          .target_version = "v2",
          .period = seconds(16)};
}

// A trial whose versions have run so much on one route.
version_trial With(run_counts old, run_counts fresh) {
  version_trial trial(Order(), kStart);
  trial.Count("old-server", "v1", "r", {});
  trial.Count("old-server", "v1", "r", old);
  trial.Count("new-server", "v2", "r", fresh);
  return trial;
}

TEST_CASE("the new version begins with the canary's share") {
  CHECK(version_trial(Order(), kStart).Share(kStart) == Approx(0.06));
}

TEST_CASE("without evidence the share does not grow") {
  CHECK(version_trial(Order(), kStart).Share(kStart + seconds(15)) ==
        Approx(0.06));
}

TEST_CASE("a good version carries everything before the period ends") {
  const version_trial trial = With({.total = 500}, {.total = 60});
  CHECK(trial.Share(kStart + seconds(12)) == 1);
  CHECK(trial.IsComplete(kStart + seconds(13)));
}

TEST_CASE("a version that fails a third of its requests is found early") {
  version_trial trial =
      With({.total = 200, .failed = 1}, {.total = 12, .failed = 4});
  CHECK(trial.Judge());
  CHECK(trial.Share(kStart) == 0);
}

TEST_CASE("a version that is slow far more often than the old one is found") {
  version_trial trial =
      With({.total = 200, .slow = 6}, {.total = 10, .slow = 7});
  CHECK(trial.Judge());
}

// The pattern: an overload, or answers that are lost on the way, hit both
// versions alike; the new one is not to blame.
TEST_CASE("what hits both versions alike is no fault of the new one") {
  version_trial trial =
      With({.total = 200, .failed = 60}, {.total = 20, .failed = 7});
  CHECK_FALSE(trial.Judge());
}

// The pattern: only one route of a service is bad, among many good answers.
TEST_CASE("a fault on one route is found among the others' successes") {
  version_trial trial = With({.total = 500}, {.total = 100});
  trial.Count("old-server", "v1", "rare", {.total = 50});
  trial.Count("new-server", "v2", "rare", {.total = 8, .failed = 5});
  CHECK(trial.Judge());
}

// The pattern: some requests last longer than their route allows, whatever the
// version, and a proxy that has just started knows nothing of the time before.
TEST_CASE("a route that always failed is no fault of the new version") {
  version_trial trial(Order(), kStart);
  trial.Count("old-server", "v1", "doomed", {.total = 60, .failed = 60});
  trial.Count("old-server", "v1", "doomed", {.total = 61, .failed = 61});
  trial.Count("new-server", "v2", "doomed", {.total = 6, .failed = 6});
  CHECK_FALSE(trial.Judge());
}

TEST_CASE(
    "a route of which the old version's runs are unknown proves nothing") {
  version_trial trial = With({.total = 500}, {.total = 100});
  trial.Count("new-server", "v2", "unknown", {.total = 6, .failed = 6});
  CHECK_FALSE(trial.Judge());
}

TEST_CASE("a late report takes nothing back") {
  version_trial trial = With({.total = 100}, {.total = 20, .failed = 3});
  trial.Count("new-server", "v2", "r", {.total = 5, .failed = 0});
  trial.Count("new-server", "v2", "r", {.total = 21, .failed = 4});
  CHECK(trial.Judge());
}

TEST_CASE("an outcome never changes") {
  version_trial trial(Order(), kStart);
  trial.SetState(trial_state::kRolledBack);
  trial.SetState(trial_state::kSucceeded);
  CHECK(trial.Order().state == trial_state::kRolledBack);
}

// Exposure of a version that fails under load only: what it gets until four of
// its answers were bad, at the shares that the schedule allows.
TEST_CASE("a version that fails only at the larger shares stays a small part") {
  version_trial trial(Order(), kStart);
  trial.Count("old-server", "v1", "r", {});
  run_counts old;
  run_counts fresh;
  double owed = 0;
  bool is_found = false;
  constexpr int kPerSecond = 142;
  for (int i = 0; i < kPerSecond * 16; ++i) {
    const auto now =
        kStart + std::chrono::nanoseconds(seconds(16)) * i / (kPerSecond * 16);
    const double share = trial.Share(now);
    owed += share;
    if (owed < 1) {
      ++old.total;
      trial.Count("old-server", "v1", "r", old);
      continue;
    }
    owed -= 1;
    ++fresh.total;
    const bool is_loaded = share > 0.2;
    if (is_loaded && fresh.total % 3 == 0) ++fresh.failed;
    trial.Count("new-server", "v2", "r", fresh);
    is_found = trial.Judge() || is_found;
  }
  CHECK(is_found);
  CHECK(fresh.total < kPerSecond * 16 / 10);
}

}  // namespace
}  // namespace fireflyspar::decisions
