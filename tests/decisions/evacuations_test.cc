#include "decisions/evacuations.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "../soak_seeds.h"
#include "base/hooks.h"

namespace fireflyspar::decisions {
namespace {

using data_centre_set = evacuations::data_centre_set;

base::store_revision Revision(std::uint64_t number, std::uint64_t era = 1) {
  return {.number = number, .era = era};
}

TEST_CASE("the set of the later revision holds") {
  evacuations tested;
  CHECK(tested.Put({"east"}, Revision(5)));
  CHECK_FALSE(tested.Put({}, Revision(4)));
  CHECK(tested.IsEvacuated("east"));
  CHECK(tested.Put({}, Revision(2, 2)));
  CHECK_FALSE(tested.IsEvacuated("east"));
}

// Guards against a stream of questions between instances that learnt of the
// same change at different revisions.
TEST_CASE("a set that is only confirmed keeps its revision") {
  evacuations tested;
  tested.Put({"east"}, Revision(5));
  CHECK_FALSE(tested.Put({"east"}, Revision(9)));
  CHECK(tested.Revision() == Revision(5));
}

// Guards against an order that is lost: it ended at 7, was given again at 8,
// and a peer still holds the set of 7.
TEST_CASE("a set between the change and its confirmation is not adopted") {
  evacuations tested;
  tested.Put({"east"}, Revision(5));
  tested.Put({"east"}, Revision(9));
  CHECK_FALSE(tested.Put({}, Revision(7)));
  CHECK(tested.IsEvacuated("east"));
  // The peer sees that this process holds a later set.
  CHECK(tested.Revision() == Revision(9));
}

// What one mutant of the rules does wrongly.
enum class mutation { kNone, kLatestMessageHolds, kConfirmationIgnored };

// Copies at several instances, which hear from the store, late or at once, and
// from each other. Returns whether all hold the store's set in the end.
bool AllAgreeInTheEnd(std::uint64_t seed, mutation wrong) {
  const auto random = base::SeededRandom(seed);
  std::vector<data_centre_set> history = {{}};
  std::vector<evacuations> copies(12);
  const auto tell = [&](evacuations& copy, const data_centre_set& set,
                        const base::store_revision& at) {
    if (wrong == mutation::kLatestMessageHolds) copy = evacuations();
    const bool is_ignored =
        wrong == mutation::kConfirmationIgnored && set == copy.DataCentres();
    if (!is_ignored) copy.Put(set, at);
  };
  const auto tell_from_store = [&](evacuations& copy, std::size_t lateness) {
    const std::size_t at = history.size() - 1 - lateness % history.size();
    tell(copy, history[at], Revision(at + 1));
  };
  const auto pull = [&](evacuations& copy, const evacuations& peer) {
    if (peer.Revision() <= copy.Revision()) return;
    tell(copy, peer.DataCentres(), peer.Revision());
  };
  for (int step = 0; step < 400; ++step) {
    if (random() % 4 == 0) {
      data_centre_set next = history.back();
      if (next.erase("east") == 0) next.insert("east");
      history.push_back(next);
    }
    evacuations& copy = copies[random() % copies.size()];
    if (random() % 3 == 0) {
      tell_from_store(copy, random() % 8);
    } else {
      pull(copy, copies[random() % copies.size()]);
    }
  }
  // Only one instance reaches the store from here on.
  tell_from_store(copies.front(), 0);
  for (int round = 0; round < 4; ++round) {
    for (evacuations& copy : copies) {
      for (const evacuations& peer : copies) pull(copy, peer);
    }
  }
  return std::ranges::all_of(copies, [&](const evacuations& each) {
    return each.DataCentres() == history.back();
  });
}

std::int64_t SeedsThatFail(mutation wrong) {
  const auto seeds = tests::SoakSeeds({.first = 1, .last = 200});
  std::int64_t failed = 0;
  for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
    if (!AllAgreeInTheEnd(seed, wrong)) ++failed;
  }
  return failed;
}

TEST_CASE("instances agree although only one of them reaches the store") {
  CHECK(SeedsThatFail(mutation::kNone) == 0);
}

TEST_CASE("each rule of the merge is needed for that") {
  CHECK(SeedsThatFail(mutation::kLatestMessageHolds) > 0);
  CHECK(SeedsThatFail(mutation::kConfirmationIgnored) > 0);
}

}  // namespace
}  // namespace fireflyspar::decisions
