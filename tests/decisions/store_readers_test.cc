#include "decisions/store_readers.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <optional>
#include <string>
#include <vector>

#include "base/hooks.h"

namespace fireflyspar::decisions {
namespace {

std::vector<std::string> Fleet(int size) {
  std::vector<std::string> instances;
  instances.reserve(static_cast<std::size_t>(size));
  for (int i = 0; i < size; ++i) {
    instances.push_back("instance-" + std::to_string(i));
  }
  return instances;
}

std::vector<std::string> ReadersOf(const std::vector<std::string>& fleet) {
  std::vector<std::string> readers;
  std::ranges::copy_if(
      fleet, std::back_inserter(readers),
      [&](const std::string& each) { return IsStoreReader(each, fleet); });
  return readers;
}

TEST_CASE("every process of a small data centre reads the store") {
  CHECK(ReadersOf(Fleet(1)).size() == 1);
  CHECK(ReadersOf(Fleet(4)).size() == 4);
}

TEST_CASE("the number of readers does not grow with the data centre") {
  for (const int size : {5, 30, 100, 500}) {
    CHECK(ReadersOf(Fleet(size)).size() == 4);
  }
}

TEST_CASE("a process that knows no peers reads for itself") {
  CHECK(IsStoreReader("alone", {}));
}

TEST_CASE("a reader that can't be reached is replaced by one other") {
  std::vector<std::string> fleet = Fleet(50);
  const std::vector<std::string> before = ReadersOf(fleet);
  std::erase(fleet, before.front());
  const std::vector<std::string> after = ReadersOf(fleet);
  CHECK(after.size() == 4);
  const auto kept = std::ranges::count_if(after, [&](const std::string& each) {
    return std::ranges::find(before, each) != before.end();
  });
  CHECK(kept == 3);
}

// A fleet in which readers learn of a change from the store, and every process
// asks a peer whose answer shows that it holds more. The peer of each call is
// drawn at random, mostly in the same data centre. Time advances in steps.
class spread_simulation {
 public:
  struct options {
    int processes = 12;
    int data_centres = 3;
    double calls_per_second = 6;  // Of each process.
    double lost_share = 0.02;     // Of the calls and of the peers' answers.
    bool first_data_centre_has_no_readers = false;
  };

  explicit spread_simulation(const options& chosen)
      : options_(chosen), random_(base::SeededRandom(7)) {
    const int in_each = chosen.processes / chosen.data_centres;
    for (int i = 0; i < chosen.data_centres; ++i) {
      const std::vector<std::string> fleet = Fleet(in_each);
      for (const std::string& each : fleet) {
        const bool has_failed =
            i == 0 && chosen.first_data_centre_has_no_readers;
        nodes_.push_back(
            {.data_centre = i,
             .is_reader = IsStoreReader(each, fleet),
             .has_failed = has_failed && IsStoreReader(each, fleet)});
      }
    }
  }

  // Returns the seconds until every process that has not failed holds the
  // change. Readers learn of it within `reader_delay` seconds.
  double Run(double reader_delay) {
    constexpr double kStep = 0.01;
    constexpr double kLimit = 60;
    constexpr double kPullSeconds = 0.1;
    for (node& each : nodes_) {
      if (each.is_reader && !each.has_failed) {
        each.held_from = Uniform() * reader_delay;
      }
    }
    double now = 0;
    while (!AllHold(now) && now < kLimit) {
      now += kStep;
      for (node& each : nodes_) {
        if (each.has_failed || each.held_from) continue;
        if (Uniform() >= options_.calls_per_second * kStep) continue;
        const node& peer = Peer(each);
        const bool shows_more =
            !peer.has_failed && peer.held_from && *peer.held_from <= now;
        if (!shows_more || Uniform() < options_.lost_share) continue;
        each.held_from = now + kPullSeconds;
      }
    }
    return now;
  }

  // Calls to the store for the change, at the full price.
  std::ptrdiff_t StoreCalls() const {
    return std::ranges::count_if(nodes_, &node::is_reader);
  }

 private:
  struct node {
    int data_centre = 0;
    bool is_reader = false;
    bool has_failed = false;
    std::optional<double> held_from;  // In seconds; nothing: not asked yet.
  };

  double Uniform() { return base::ToUnitInterval(random_()); }

  const node& Peer(const node& from) {
    constexpr double kNearShare = 0.8;
    const bool is_near = Uniform() < kNearShare;
    for (;;) {
      const node& drawn = nodes_[random_() % nodes_.size()];
      if (&drawn == &from) continue;
      if ((drawn.data_centre == from.data_centre) == is_near) return drawn;
    }
  }

  bool AllHold(double now) const {
    return std::ranges::all_of(nodes_, [now](const node& each) {
      return each.has_failed || (each.held_from && *each.held_from <= now);
    });
  }

  options options_;
  base::random_hook random_;
  std::vector<node> nodes_;
};

// A size of the fleet, and the time within which a configuration has to be in
// force there.
struct fleet_target {
  int processes = 0;
  double limit_seconds = 0;
};

// The sites' limits, and for the largest fleet that of the operators' target.
constexpr fleet_target kTargets[] = {{.processes = 12, .limit_seconds = 2},
                                     {.processes = 87, .limit_seconds = 2.5},
                                     {.processes = 295, .limit_seconds = 3},
                                     {.processes = 2000, .limit_seconds = 5}};

// Part of the limit after which readers look for the next change.
constexpr double kReaderDelayShare = 0.25;

// The load: a change of the configuration in a fleet of many processes.
TEST_CASE("a change reaches fleets of any size in time, at a constant price") {
  for (const fleet_target& each : kTargets) {
    spread_simulation fleet({.processes = each.processes, .data_centres = 3});
    INFO(each.processes << " processes");
    const double reader_delay = each.limit_seconds * kReaderDelayShare;
    CHECK(fleet.Run(reader_delay) < each.limit_seconds);
    CHECK(fleet.StoreCalls() == 12);
  }
}

TEST_CASE("a change reaches a data centre whose readers have all failed") {
  for (const fleet_target& each : kTargets) {
    if (each.processes <= 12) continue;  // All of them are readers.
    spread_simulation fleet({.processes = each.processes,
                             .data_centres = 3,
                             .first_data_centre_has_no_readers = true});
    INFO(each.processes << " processes");
    const double reader_delay = each.limit_seconds * kReaderDelayShare;
    CHECK(fleet.Run(reader_delay) < each.limit_seconds);
  }
}

}  // namespace
}  // namespace fireflyspar::decisions
