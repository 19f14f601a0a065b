#include "decisions/attempt_offers.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace fireflyspar::decisions {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a gate that was full for a short wait may be asked for a long one") {
  attempt_offers offers;
  CHECK_FALSE(offers.MayWait());
  offers.OnFull("a", milliseconds(40));
  CHECK(offers.MayWait());
  CHECK_FALSE(offers.IsRefusedBy("a"));
  offers.OnFull("a", milliseconds(30));
  CHECK(offers.IsRefusedBy("a"));
}

TEST_CASE("a gate that refuses for another reason is not asked again") {
  attempt_offers offers;
  offers.OnRefused("a");
  CHECK(offers.IsRefusedBy("a"));
  CHECK_FALSE(offers.MayWait());
  CHECK(offers.LeastWait() == milliseconds(0));
}

TEST_CASE("the shortest wait of the full gates is told to the caller") {
  attempt_offers offers;
  offers.OnFull("a", milliseconds(40));
  offers.OnFull("b", milliseconds(25));
  offers.OnFull("c", milliseconds(60));
  CHECK(offers.LeastWait() == milliseconds(25));
  CHECK(offers.Refusals() == 3);
}

// Guards against an overload in which each request asks a full gate for a short
// wait first: the offers took the processors of the proxies.
TEST_CASE("a long wait is accepted at once if no gate is expected to be free") {
  attempt_offers offers;
  offers.OnChoice(false);
  CHECK(offers.MayWait());
  offers.OnFull("a", milliseconds(40));
  CHECK(offers.IsRefusedBy("a"));
}

// Guards against callers that are held while gate after gate is full.
TEST_CASE("a request is not offered to more than five full gates") {
  attempt_offers offers;
  for (const char* gate : {"a", "b", "c", "d"}) {
    offers.OnFull(gate, milliseconds(10));
  }
  CHECK_FALSE(offers.IsExhausted());
  offers.OnFull("e", milliseconds(10));
  CHECK(offers.IsExhausted());
}

}  // namespace
}  // namespace fireflyspar::decisions
