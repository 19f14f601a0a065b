#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>
#include <tuple>
#include <vector>

#include "gossip_simulation.h"

namespace fireflyspar::decisions {
namespace {

using script = std::vector<std::uint32_t>;

constexpr std::size_t kSteps = 150;
constexpr base::duration kSettling = std::chrono::seconds(60);

// Runs the script, lets the simulation settle, replays all messages and settles
// again. Returns the first violation of an invariant, or "".
std::string Run(const script& steps, const merge_rules& rules) {
  gossip_simulation simulation(1, rules);
  for (const std::uint32_t code : steps) simulation.Step(code);
  simulation.Settle(kSettling);
  if (!simulation.Violation().empty()) return simulation.Violation();
  if (!simulation.NotConverged().empty()) return simulation.NotConverged();
  simulation.ReplayHistory();
  simulation.Settle(kSettling);
  if (!simulation.Violation().empty()) return simulation.Violation();
  return simulation.NotConverged();
}

rc::Gen<script> Scripts() {
  return rc::gen::container<script>(
      kSteps, rc::gen::inRange<std::uint32_t>(0, 1U << 31U));
}

// Runs a fixed number of scripts. Returns the first violation found, or "".
std::string FirstViolation(const merge_rules& rules) {
  constexpr std::uint64_t kTries = 40;
  for (std::uint64_t seed = 1; seed <= kTries; ++seed) {
    const base::random_hook random = base::SeededRandom(seed);
    script steps(kSteps);
    for (std::uint32_t& code : steps) {
      code = static_cast<std::uint32_t>(random() >> 33U);
    }
    std::string violation = Run(steps, rules);
    if (!violation.empty()) return violation;
  }
  return "";
}

TEST_CASE("no node goes back, and all converge once faults stop") {
  CHECK(rc::check([] {
    const script steps = *Scripts();
    const std::string violation = Run(steps, {});
    if (!violation.empty()) RC_FAIL(violation);
  }));
}

TEST_CASE("without the version check a node returns to an older version") {
  merge_rules rules;
  rules.replaces = [](std::uint64_t candidate, std::uint64_t current) {
    return candidate != current;
  };
  CHECK_THAT(FirstViolation(rules), Catch::Contains("went back from version"));
}

TEST_CASE("without the order of records a node returns to an older record") {
  merge_rules rules;
  rules.supersedes = [](const member_record& candidate,
                        const member_record& current) {
    return candidate != current;
  };
  CHECK_THAT(FirstViolation(rules), Catch::Contains("older record"));
}

TEST_CASE("without the incarnation a restarted node loses to its old record") {
  merge_rules rules;
  rules.supersedes = [](const member_record& candidate,
                        const member_record& current) {
    return std::tie(candidate.sequence, candidate.state) >
           std::tie(current.sequence, current.state);
  };
  CHECK_FALSE(FirstViolation(rules).empty());
}

}  // namespace
}  // namespace fireflyspar::decisions
