#include "config/delta.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <numeric>

#include "config/preset_text.h"
#include "presets.h"

namespace fireflyspar::config {
namespace {

// Returns the size of a delta on the wire, in bytes: both hashes and, for each
// edit, two 32-bit numbers and the added bytes.
std::size_t WireSize(const delta& change) {
  constexpr std::size_t kNumbers = 2 * sizeof(std::uint32_t);
  return std::accumulate(change.edits.begin(), change.edits.end(),
                         change.base_hash.size() + change.result_hash.size(),
                         [](std::size_t sum, const edit& each) {
                           return sum + kNumbers + each.added.size();
                         });
}

// Returns whether the delta from `from` to `to`, applied to `from`, yields
// `to`.
bool RoundTrips(const std::string& from, const std::string& to) {
  const auto made = ApplyDelta(from, MakeDelta(from, to));
  return made && *made == to;
}

TEST_CASE("the delta for one changed share in 230 services is small") {
  const preset before = LargePreset(230);
  preset after = before;
  after.services[117].versions[0].percent = 98;
  after.services[117].versions[1].percent = 2;
  const std::string from = ToText(before);
  const std::string to = ToText(after);
  REQUIRE(std::holds_alternative<preset>(ParsePreset(to)));
  const delta change = MakeDelta(from, to);
  CHECK(WireSize(change) < 200);
  CHECK(*ApplyDelta(from, change) == to);
}

TEST_CASE(
    "the delta for one service added, one removed and two swapped is small") {
  const preset before = LargePreset(230);
  preset after = before;
  after.services.erase(after.services.begin() + 200);
  after.services.insert(after.services.begin() + 5, {.name = "new"});
  std::swap(after.services[50], after.services[60]);
  const std::string from = ToText(before);
  const std::string to = ToText(after);
  CHECK(WireSize(MakeDelta(from, to)) < 1500);
  CHECK(RoundTrips(from, to));
}

TEST_CASE("the delta between any two preset texts yields the second") {
  CHECK(rc::check([] {
    const std::string from = ToText(*ArbitraryPreset());
    const std::string to = ToText(*ArbitraryPreset());
    RC_ASSERT(RoundTrips(from, to));
    RC_ASSERT(MakeDelta(from, from).edits.empty());
  }));
}

TEST_CASE("the delta between any two texts yields the second") {
  CHECK(rc::check([] {
    // Uses only three characters, so that lines often repeat, move or differ in
    // few bytes.
    const auto text =
        rc::gen::container<std::string>(rc::gen::element('a', 'b', '\n'));
    const std::string from = *text;
    const std::string to = *text;
    RC_ASSERT(RoundTrips(from, to));
  }));
}

TEST_CASE("an invalid delta is refused") {
  const std::string from = "one\ntwo\nthree\n";
  const std::string to = "one\n2\nthree\nfour\n";
  const delta good = MakeDelta(from, to);
  REQUIRE(good.edits.size() == 2);
  const auto refused = [](std::string_view base, const delta& change) {
    const auto made = ApplyDelta(base, change);
    return !made &&
           made.Failure().Kind() == base::error_kind::kMalformedMessage;
  };
  CHECK(refused("one\ntwo\nThree\n", good));
  for (const edit& bad : {edit{.offset = 15}, edit{.offset = 0xFFFFFFFF},
                          edit{.offset = 1, .removed = 0xFFFFFFFF},
                          edit{.offset = 14, .removed = 1}}) {
    delta change = good;
    change.edits = {bad};
    CHECK(refused(from, change));
  }
  delta reordered = good;
  std::swap(reordered.edits[0], reordered.edits[1]);
  CHECK(refused(from, reordered));
  delta other = good;
  other.edits[0].added += "x";
  CHECK(refused(from, other));
  delta huge = good;
  huge.edits = {edit{.added = std::string(kMaxPresetBytes + 1, 'x')}};
  CHECK(refused(from, huge));
}

TEST_CASE("a delta with a changed edit is refused or yields the same text") {
  const std::string from = ToText(LargePreset(3));
  const std::string to = ToText(LargePreset(4));
  const delta good = MakeDelta(from, to);
  CHECK(rc::check([&] {
    delta change = good;
    const auto index = *rc::gen::inRange<std::size_t>(0, change.edits.size());
    edit& changed_edit = change.edits[index];
    changed_edit.offset += *rc::gen::inRange(0, 3);
    changed_edit.removed ^= *rc::gen::inRange(0, 3);
    if (!changed_edit.added.empty()) {
      changed_edit.added[*rc::gen::inRange<std::size_t>(
          0, changed_edit.added.size())] ^=
          static_cast<char>(*rc::gen::inRange(0, 256));
    }
    const auto made = ApplyDelta(from, change);
    // A changed edit may yield the same text, but never a different one.
    const bool right = !made || *made == to;
    RC_ASSERT(right);
  }));
}

}  // namespace
}  // namespace fireflyspar::config
