#include "decisions/balancer.h"

#include <array>
#include <catch2/catch.hpp>

#include "lab/balancing_experiment.h"

namespace fireflyspar::decisions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::instant kNow{std::chrono::hours(1)};

const std::array<server_candidate, 4> kFour = {
    server_candidate{.id = "a", .slots = 6},
    server_candidate{.id = "b", .slots = 6},
    server_candidate{.id = "c", .slots = 6},
    server_candidate{.id = "d", .slots = 6}};

// Returns how many of 1,000 calls each candidate gets.
std::array<int, 4> CountCalls(balancer& chooser,
                              std::span<const server_candidate> candidates,
                              base::instant now) {
  const auto random = base::SeededRandom(1);
  std::array<int, 4> counts{};
  for (int call = 0; call < 1000; ++call) {
    ++counts[*chooser.Choose(candidates, {}, random, now)];
  }
  return counts;
}

TEST_CASE("without candidates nothing is chosen") {
  balancer chooser;
  CHECK_FALSE(chooser.Choose({}, {}, base::SeededRandom(1), kNow));
}

TEST_CASE("a server that keeps failing is ejected for a while") {
  balancer chooser;
  for (int call = 0; call < 5; ++call) {
    chooser.OnDispatch("a", kNow);
    chooser.OnEnd("a", call_ending::kFailed, milliseconds(1), kNow);
  }
  CHECK(CountCalls(chooser, kFour, kNow)[0] == 0);
  CHECK(CountCalls(chooser, kFour, kNow + seconds(3))[0] > 0);
}

TEST_CASE(
    "ejections are ignored if less than half of the servers would remain") {
  balancer chooser;
  for (const char* id : {"a", "b", "c"}) {
    for (int call = 0; call < 5; ++call) {
      chooser.OnDispatch(id, kNow);
      chooser.OnEnd(id, call_ending::kFailed, milliseconds(1), kNow);
    }
  }
  const auto shares = CountCalls(chooser, kFour, kNow);
  CHECK(shares[0] > 0);
  CHECK(shares[3] < 1000);
}

TEST_CASE("the caller's data centre is preferred until its slots are taken") {
  balancer chooser;
  std::array<server_candidate, 4> candidates = kFour;
  candidates[2].is_near = candidates[3].is_near = false;
  const auto shares = CountCalls(chooser, candidates, kNow);
  CHECK(shares[2] + shares[3] == 0);
  for (const char* id : {"a", "b"}) chooser.OnGateLoad(id, 6, kNow);
  const auto spilled = CountCalls(chooser, candidates, kNow);
  CHECK(spilled[2] + spilled[3] > 500);
  // The reports of the gates are not used once they are old.
  const auto later = CountCalls(chooser, candidates, kNow + seconds(1));
  CHECK(later[2] + later[3] == 0);
}

TEST_CASE("a retry avoids the servers that were already tried") {
  balancer chooser;
  const auto random = base::SeededRandom(1);
  const std::vector<std::string> tried = {"a", "b", "c"};
  for (int call = 0; call < 100; ++call) {
    CHECK(chooser.Choose(kFour, tried, random, kNow) == 3U);
  }
}

TEST_CASE("two choices beat round robin and random when one server is bad") {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    const auto report = lab::RunBalancingExperiment(seed);
    for (const char* trouble : {"one_slow", "one_cold", "one_lies"}) {
      const auto& row = report[trouble];
      for (const char* other :
           {"round_robin", "random", "least_reported_load"}) {
        INFO(seed << ' ' << trouble << ' ' << other);
        CHECK(row["two_choices"]["p99_ms"] < row[other]["p99_ms"]);
        CHECK(row["two_choices"]["shed_share"] < row[other]["shed_share"]);
      }
    }
  }
}

}  // namespace
}  // namespace fireflyspar::decisions
