#include "platform/object_reconciler.h"

#include <catch2/catch.hpp>
#include <string>

#include "platform/roster.h"
#include "platform/status_report.h"
#include "platform_fixture.h"

namespace fireflyspar::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<base::address> Addresses(int from, int to) {
  std::vector<base::address> addresses;
  for (int port = from; port < to; ++port) {
    addresses.push_back(
        {.ip = "10.0.0.1", .port = static_cast<std::uint16_t>(port)});
  }
  return addresses;
}

// Creates object reconcilers whose checks and clock the test controls.
struct reconciler_fixture : platform_fixture {
  base::instant now{seconds{1000}};
  std::vector<base::address> living = Addresses(1, 101);
  std::vector<node_version> observed;

  object_reconciler MakeReconciler(std::vector<reconciled_object> objects,
                                   object_api own_api) {
    return object_reconciler({.api = std::move(own_api),
                              .clock = [this] { return now; },
                              .random = base::SeededRandom(1),
                              .metrics = &metrics,
                              .objects = std::move(objects)});
  }

  object_reconciler MakeReconciler(std::vector<reconciled_object> objects) {
    return MakeReconciler(std::move(objects), api);
  }

  reconciled_object Roster() {
    return ReconciledRoster({.data_centre = "fukuoka",
                             .random = base::SeededRandom(2),
                             .is_assigned = [] { return true; },
                             .living = [this] { return living; }});
  }

  reconciled_object Status() {
    return ReconciledStatusReport({.data_centre = "fukuoka",
                                   .clock = [this] { return now; },
                                   .is_assigned = [] { return true; },
                                   .observe = [this] { return observed; }});
  }

  std::int64_t Writes() const {
    const auto calls = stand_in.Stats().calls;
    const auto found = calls.find("put");
    return found == calls.end() ? 0 : found->second;
  }

  std::int64_t Calls() const {
    std::int64_t total = 0;
    for (const auto& [kind, count] : stand_in.Stats().calls) total += count;
    return total;
  }
};

TEST_CASE("a roster lists a bounded number of living nodes") {
  reconciler_fixture f;
  auto reconciler = f.MakeReconciler({f.Roster()});
  reconciler.ReconcileAll();
  const auto rosters = ReadRosters(f.api);
  REQUIRE(rosters);
  REQUIRE(rosters->size() == 1);
  CHECK(rosters->front().data_centre == "fukuoka");
  CHECK(rosters->front().addresses.size() == kMaxRosterAddresses);
}

TEST_CASE("a roster is rewritten only when a quarter of its nodes are gone") {
  const auto listed = Addresses(1, 33);
  const auto random = base::SeededRandom(1);
  CHECK_FALSE(NextRoster(listed, Addresses(1, 100), random));
  CHECK_FALSE(NextRoster(listed, Addresses(9, 100), random));
  const auto next = NextRoster(listed, Addresses(10, 100), random);
  REQUIRE(next);
  CHECK(next->size() == kMaxRosterAddresses);
  CHECK(std::ranges::find(*next, listed.front()) == next->end());
  CHECK(std::ranges::includes(*next, Addresses(10, 33)));
}

TEST_CASE("a roster of a few nodes lists all of them") {
  const auto next = NextRoster({}, Addresses(1, 4), base::SeededRandom(1));
  REQUIRE(next);
  CHECK(next->size() == 3);
}

TEST_CASE("a roster is not changed when no node lives") {
  CHECK_FALSE(NextRoster(Addresses(1, 4), {}, base::SeededRandom(1)));
}

TEST_CASE("two writers of a roster agree after one conflict") {
  reconciler_fixture f;
  auto first = f.MakeReconciler({f.Roster()});
  auto second = f.MakeReconciler({f.Roster()});
  first.ReconcileAll();
  second.ReconcileAll();
  f.living = Addresses(200, 300);
  f.now += seconds{60};
  first.ReconcileAll();
  second.ReconcileAll();  // Conflicts: it read the old roster.
  second.ReconcileAll();  // Reads and has nothing to write.
  second.ReconcileAll();
  CHECK(f.stand_in.Stats().conflicts == 1);
  CHECK(f.Writes() == 3);
}

TEST_CASE("an object is written no more often than its least interval allows") {
  reconciler_fixture f;
  auto reconciler = f.MakeReconciler({f.Status()});
  for (std::uint64_t version = 1; version <= 100; ++version) {
    f.observed = {{.node_id = "n1", .version = version}};
    reconciler.ReconcileAll();
    f.now += milliseconds{100};
  }
  CHECK(f.Writes() == 10);
}

TEST_CASE("a node that is not assigned to an object makes no platform call") {
  reconciler_fixture f;
  auto roster = f.Roster();
  roster.is_assigned = [] { return false; };
  auto reconciler = f.MakeReconciler({roster});
  reconciler.ReconcileAll();
  CHECK(f.Calls() == 0);
}

TEST_CASE("a write whose answer was lost is not repeated") {
  reconciler_fixture f;
  auto reconciler = f.MakeReconciler({f.Roster()}, f.Client(milliseconds{200}));
  f.stand_in.SetFaults({.lose_answers = 1});
  reconciler.ReconcileAll();
  f.now += seconds{60};
  reconciler.ReconcileAll();
  CHECK(f.Writes() == 1);
  CHECK(ReadRosters(f.api)->size() == 1);
}

TEST_CASE("a status reports the versions in force and the lagging nodes") {
  const auto report = MakeStatusReport("fukuoka",
                                       {{.node_id = "n3", .version = 6},
                                        {.node_id = "n1", .version = 7},
                                        {.node_id = "n2", .version = 0}},
                                       base::instant(seconds{5}));
  CHECK(report.versions == std::vector<version_count>{{7, 1}, {6, 1}, {0, 1}});
  CHECK(report.lagging == std::vector<std::string>{"n2", "n3"});
  CHECK(report.nodes == 3);
  const auto parsed = ParseStatusReport(ToText(report));
  REQUIRE(parsed);
  CHECK(*parsed == report);
}

TEST_CASE("a status names a bounded number of lagging nodes, and counts all") {
  std::vector<node_version> nodes{{.node_id = "ahead", .version = 2}};
  for (int i = 0; i < 500; ++i) {
    nodes.push_back({.node_id = "n" + std::to_string(i), .version = 1});
  }
  const auto report = MakeStatusReport("fukuoka", nodes, {});
  CHECK(report.lagging.size() == kMaxLaggingNames);
  CHECK(report.versions.back().nodes == 500);
}

TEST_CASE("a status is refreshed once a minute without a change") {
  reconciler_fixture f;
  auto reconciler = f.MakeReconciler({f.Status()});
  f.observed = {{.node_id = "n1", .version = 1}};
  reconciler.ReconcileAll();
  f.now += seconds{59};
  reconciler.ReconcileAll();
  CHECK(f.Writes() == 1);
  f.now += seconds{1};
  reconciler.ReconcileAll();
  CHECK(f.Writes() == 2);
  const auto reports = ReadStatusReports(f.api);
  REQUIRE(reports);
  CHECK(reports->front().written_at == f.now);
}

TEST_CASE("rosters and statuses that do not parse are left out") {
  reconciler_fixture f;
  f.Store("roster/kumamoto", "{}");
  f.Store("status/kumamoto", "[");
  CHECK(ReadRosters(f.api)->empty());
  CHECK(ReadStatusReports(f.api)->empty());
}

TEST_CASE("an object reconciler stops while the platform hangs") {
  reconciler_fixture f;
  auto reconciler =
      f.MakeReconciler({f.Roster()}, f.Client(milliseconds{3'600'000}));
  f.stand_in.SetFaults({.hang = true});
  reconciler.Start();
  reconciler.Stop();
  SUCCEED();
}

}  // namespace
}  // namespace fireflyspar::platform
