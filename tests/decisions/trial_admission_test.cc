#include "decisions/trial_admission.h"

#include <catch2/catch.hpp>

namespace fireflyspar::decisions {
namespace {

constexpr bool kChosen = true;

// Guards against an innocent request that is withheld since the one that ended
// the server ran beside it while it was tried.
TEST_CASE("no suspect runs beside a request on trial") {
  trial_admission tested;
  SECTION("one on trial") { tested.Enter(suspicion::kOnTrial, "a"); }
  SECTION("one that is suspected") { tested.Enter(suspicion::kSuspected, "a"); }
  CHECK(tested.Evaluate(suspicion::kOnTrial, "b", kChosen) ==
        suspect_refusal::kOtherOnTrial);
}

TEST_CASE("a suspected request does not run beside a trial") {
  trial_admission tested;
  tested.Enter(suspicion::kOnTrial, "a");
  CHECK(tested.Evaluate(suspicion::kSuspected, "b", kChosen) ==
        suspect_refusal::kOtherOnTrial);
  tested.Leave(suspicion::kOnTrial);
  CHECK(tested.Evaluate(suspicion::kSuspected, "b", kChosen) ==
        suspect_refusal::kNone);
}

TEST_CASE("suspected requests run side by side, and any others too") {
  trial_admission tested;
  tested.Enter(suspicion::kSuspected, "a");
  CHECK(tested.Evaluate(suspicion::kSuspected, "b", kChosen) ==
        suspect_refusal::kNone);
  tested.Leave(suspicion::kSuspected);
  tested.Enter(suspicion::kOnTrial, "a");
  CHECK(tested.Evaluate(suspicion::kNone, "b", false) ==
        suspect_refusal::kNone);
}

TEST_CASE("a second copy of a request on trial is told so") {
  trial_admission tested;
  tested.Enter(suspicion::kOnTrial, "a");
  CHECK(tested.Evaluate(suspicion::kOnTrial, "a", kChosen) ==
        suspect_refusal::kRunsAlready);
}

TEST_CASE("a router that does not know is sent to the gate that tries it") {
  const trial_admission tested;
  CHECK(tested.Evaluate(suspicion::kSuspected, "a", false) ==
        suspect_refusal::kNotTriedHere);
  CHECK(tested.Evaluate(suspicion::kOnTrial, "a", false) ==
        suspect_refusal::kNotTriedHere);
  CHECK(tested.Evaluate(suspicion::kWithheld, "a", kChosen) ==
        suspect_refusal::kWithheld);
}

}  // namespace
}  // namespace fireflyspar::decisions
