#include "base/hash.h"

#include <catch2/catch.hpp>

#include "base/hooks.h"

namespace fireflyspar::base {
namespace {

TEST_CASE("a content hash is SHA-256 in hexadecimal") {
  // The test vector of FIPS 180-2, appendix B.1.
  CHECK(ContentHash("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("a generator repeats its values for the same seed only") {
  const auto first = SeededRandom(1);
  const auto same = SeededRandom(1);
  const auto other = SeededRandom(2);
  const auto drawn = first();
  CHECK(drawn == same());
  CHECK(drawn != other());
}

TEST_CASE("a draw is mapped to the unit interval without its upper end") {
  CHECK(ToUnitInterval(0) == 0.0);
  CHECK(ToUnitInterval(~std::uint64_t{0}) < 1.0);
}

}  // namespace
}  // namespace fireflyspar::base
