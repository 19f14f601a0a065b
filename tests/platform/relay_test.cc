#include "platform/relay.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <string>

#include "platform_fixture.h"

namespace fireflyspar::platform {
namespace {

using std::chrono::milliseconds;

// A relay on a stand-in platform, which records what the relay offers.
struct relay_fixture : platform_fixture {
  std::atomic<bool> is_assigned{true};
  value_recorder<std::uint64_t> versions;
  value_recorder<decisions::move> moves;
  value_recorder<std::string> removed_moves;
  std::unique_ptr<relay> tested;

  explicit relay_fixture(milliseconds timeout = milliseconds{10'000})
      : tested(MakeRelay(Client(timeout))) {}

  std::unique_ptr<relay> MakeRelay(object_api own_api) {
    return std::make_unique<relay>(relay_options{
        .api = std::move(own_api),
        .random = base::SeededRandom(1),
        .metrics = &metrics,
        .is_assigned = [this] { return is_assigned.load(); },
        .offer_configuration =
            [this](const config::snapshot_ptr& configuration) {
              versions.Add(configuration->id.version);
            },
        .offer_move =
            [this](const decisions::move& value) { moves.Add(value); },
        .remove_move = [this](const std::string& id) { removed_moves.Add(id); },
        .job_check = milliseconds{1},
        .watch_wait = milliseconds{3'600'000},
        .retry = {.first = milliseconds{1}, .most = milliseconds{20}}});
  }

  bool WaitForVersion(std::uint64_t wanted) {
    return versions.WaitFor(
        [&](std::uint64_t version) { return version == wanted; });
  }

  // Has no time limit of its own; the limit of the test program applies.
  void WaitForFailure() {
    const base::counter& failures =
        metrics.Counter("fireflyspar_platform_failures_total", "job=\"relay\"");
    while (failures.load() == 0) std::this_thread::yield();
  }

  bool OfferedVersionsGrow() const {
    const auto all = versions.All();
    return std::ranges::is_sorted(all, std::less_equal<>());
  }

  std::int64_t CallsAtThePlatform() const {
    std::int64_t total = 0;
    for (const auto& [kind, count] : stand_in.Stats().calls) total += count;
    return total;
  }
};

TEST_CASE("a relay offers what is in force and every later version") {
  relay_fixture f;
  f.PutInForce(1, "ordinary");
  f.tested->Start();
  REQUIRE(f.WaitForVersion(1));
  f.PutInForce(2, "peak");
  REQUIRE(f.WaitForVersion(2));
  f.PutInForce(3, "ordinary");
  REQUIRE(f.WaitForVersion(3));
  CHECK(f.OfferedVersionsGrow());
}

TEST_CASE("a relay offers moves, their changes and their removal") {
  relay_fixture f;
  f.tested->Start();
  f.StoreMove(RunningMove("m"));
  REQUIRE(f.moves.WaitFor(
      [](const decisions::move& each) { return each == RunningMove("m"); }));
  auto done = RunningMove("m");
  done.state = decisions::move_state::kDone;
  done.is_final = true;
  f.StoreMove(done);
  REQUIRE(f.moves.WaitFor(
      [&](const decisions::move& each) { return each == done; }));
  const std::string key = std::string(kMovePrefix) + "m";
  REQUIRE(f.api.remove(key, f.api.get(key)->version));
  CHECK(f.removed_moves.WaitFor(
      [](const std::string& each) { return each == "m"; }));
}

// Guards against a removal that is missed: it falls between a watch that
// returned the move and one from version zero, which returns existing objects
// only.
TEST_CASE("a relay notices a removal that falls into a resync") {
  relay_fixture f;
  const object stored{.key = std::string(kMovePrefix) + "m",
                      .version = 1,
                      .value = ToText(RunningMove("m"))};
  std::atomic<bool> is_first = true;
  relay tested(
      {.api = {.get = [](std::string_view key) -> base::result<object> {
                 return base::Fail(base::error_kind::kNotFound,
                                   std::string(key));
               },
               .watch =
                   [&](std::string_view, std::uint64_t, milliseconds) {
                     return is_first.exchange(false)
                                ? std::vector<object>{stored}
                                : std::vector<object>{};
                   }},
       .random = base::SeededRandom(1),
       .metrics = &f.metrics,
       .is_assigned = [] { return true; },
       .offer_move = [&](const decisions::move& value) { f.moves.Add(value); },
       .remove_move = [&](const std::string& id) { f.removed_moves.Add(id); },
       .retry = {.first = milliseconds{1}, .most = milliseconds{20}}});
  tested.Start();
  CHECK(f.removed_moves.WaitFor(
      [](const std::string& each) { return each == "m"; }));
  tested.Stop();
}

// A lagging replica may not have a move yet. A wrong removal would end the move
// everywhere.
TEST_CASE("a move that a resync lacks is kept while the platform has it") {
  relay_fixture f;
  const object stored{.key = std::string(kMovePrefix) + "m",
                      .version = 1,
                      .value = ToText(RunningMove("m"))};
  std::atomic<bool> is_first = true;
  std::atomic<int> reads = 0;
  value_recorder<int> read;
  relay tested(
      {.api = {.get = [&](std::string_view) -> base::result<object> {
                 read.Add(++reads);
                 return stored;
               },
               .watch =
                   [&](std::string_view, std::uint64_t, milliseconds) {
                     return is_first.exchange(false)
                                ? std::vector<object>{stored}
                                : std::vector<object>{};
                   }},
       .random = base::SeededRandom(1),
       .metrics = &f.metrics,
       .is_assigned = [] { return true; },
       .offer_move = [](const decisions::move&) {},
       .remove_move = [&](const std::string& id) { f.removed_moves.Add(id); },
       .retry = {.first = milliseconds{1}, .most = milliseconds{20}}});
  tested.Start();
  REQUIRE(read.WaitFor([](int count) { return count >= 2; }));
  tested.Stop();
  CHECK(f.removed_moves.All().empty());
}

TEST_CASE("a node that is not a relay makes no platform call") {
  relay_fixture f;
  f.is_assigned = false;
  std::atomic<int> checks = 0;
  value_recorder<int> asked;
  relay idle({.api = f.Client(milliseconds{10'000}),
              .random = base::SeededRandom(1),
              .metrics = &f.metrics,
              .is_assigned =
                  [&] {
                    asked.Add(++checks);
                    return false;
                  },
              .job_check = milliseconds{1}});
  idle.Start();
  REQUIRE(asked.WaitFor([](int count) { return count >= 10; }));
  idle.Stop();
  CHECK(f.CallsAtThePlatform() == 0);
}

TEST_CASE("a node that becomes a relay reads everything from the platform") {
  relay_fixture f;
  f.is_assigned = false;
  f.PutInForce(1, "ordinary");
  f.tested->Start();
  f.is_assigned = true;
  CHECK(f.WaitForVersion(1));
}

TEST_CASE("a stale watch does not take a relay back") {
  relay_fixture f;
  f.PutInForce(1, "ordinary");
  f.tested->Start();
  REQUIRE(f.WaitForVersion(1));
  f.PutInForce(2, "peak");
  REQUIRE(f.WaitForVersion(2));
  f.stand_in.SetFaults({.stale_watch = true});
  f.PutInForce(3, "ordinary");  // The watch returns version 2.
  f.StoreMove(RunningMove("after"));
  REQUIRE(f.moves.WaitFor(
      [](const decisions::move& each) { return each.id == "after"; }));
  f.stand_in.SetFaults({});
  REQUIRE(f.WaitForVersion(3));
  CHECK(f.OfferedVersionsGrow());
}

TEST_CASE(
    "reordered or repeated watch results do not make a relay offer older "
    "versions") {
  relay_fixture f;
  f.stand_in.SetFaults({.reordered_watch = true});
  f.PutInForce(1, "ordinary");
  f.tested->Start();
  REQUIRE(f.WaitForVersion(1));
  for (std::uint64_t version = 2; version <= 9; ++version) {
    f.PutInForce(version, version % 2 == 0 ? "peak" : "ordinary");
  }
  REQUIRE(f.WaitForVersion(9));
  CHECK(f.OfferedVersionsGrow());
}

TEST_CASE("an older in_force with a newer object version is not offered") {
  // After a restore from a backup the platform may have an older configuration
  // version in an object with a newer object version.
  relay_fixture f;
  f.PutInForce(5, "peak");
  f.tested->Start();
  REQUIRE(f.WaitForVersion(5));
  f.PutInForce(4, "ordinary");
  f.StoreMove(RunningMove("after"));
  REQUIRE(f.moves.WaitFor(
      [](const decisions::move& each) { return each.id == "after"; }));
  f.PutInForce(6, "ordinary");
  REQUIRE(f.WaitForVersion(6));
  CHECK(f.versions.All() == std::vector<std::uint64_t>{5, 6});
}

TEST_CASE("a relay that starts during an outage reads the platform after it") {
  relay_fixture f;
  const auto outage = GENERATE(lab::platform_faults{.down = true},
                               lab::platform_faults{.reads_per_second = -1});
  f.stand_in.SetFaults(outage);
  f.tested->Start();
  f.WaitForFailure();
  f.stand_in.SetFaults({});
  f.PutInForce(1, "ordinary");
  CHECK(f.WaitForVersion(1));
}

TEST_CASE("a relay whose waiting watch is cut off reads the platform again") {
  relay_fixture f;
  f.PutInForce(1, "ordinary");
  f.tested->Start();
  REQUIRE(f.WaitForVersion(1));
  f.stand_in.SetFaults({.refuse_ms = 50});
  f.WaitForFailure();
  while (!f.api.get(kInForceKey)) std::this_thread::yield();
  f.PutInForce(2, "peak");
  REQUIRE(f.WaitForVersion(2));
  CHECK(f.OfferedVersionsGrow());
}

TEST_CASE("a snapshot that does not match its hash is never offered") {
  relay_fixture f;
  f.tested->Start();
  const std::string hash = base::ContentHash(PresetText("ordinary"));
  const std::string key = std::string(kSnapshotPrefix) + hash;
  f.Store(key, PresetText("peak"));
  f.PutInForce(1, "ordinary");  // Also replaces the corrupt snapshot.
  REQUIRE(f.WaitForVersion(1));
  f.Store(key, PresetText("peak"));
  f.PutInForce(2, "peak");
  REQUIRE(f.WaitForVersion(2));
  CHECK(f.OfferedVersionsGrow());
}

TEST_CASE("a relay stops while the platform hangs") {
  relay_fixture f(milliseconds{3'600'000});
  f.PutInForce(1, "ordinary");
  f.tested->Start();
  REQUIRE(f.WaitForVersion(1));
  f.stand_in.SetFaults({.hang = true});
  f.tested->Stop();  // If it hangs, the test program's limit applies.
  SUCCEED();
}

TEST_CASE(
    "a watch that repeats its result does not cause a tight loop of calls") {
  // The watch returns the same result each time, without waiting.
  relay_fixture f;
  std::atomic<int> watches = 0;
  std::atomic<int> pauses = 0;
  value_recorder<int> watched;
  relay tested({.api = {.watch =
                            [&](std::string_view, std::uint64_t, milliseconds) {
                              watched.Add(++watches);
                              return std::vector<object>{
                                  {.key = "watched/moves/m",
                                   .version = 1,
                                   .value = ToText(RunningMove("m"))}};
                            }},
                .random =
                    [&] {
                      ++pauses;
                      return std::uint64_t{1};
                    },
                .metrics = &f.metrics,
                .is_assigned = [] { return true; },
                .offer_move = [](const decisions::move&) {}});
  tested.Start();
  REQUIRE(watched.WaitFor([](int count) { return count >= 20; }));
  tested.Stop();
  // The relay pauses after every result except the first, and perhaps the last.
  CHECK(pauses.load() >= watches.load() - 2);
}

TEST_CASE("a starting node fetches the version in force and the moves") {
  relay_fixture f;
  f.PutInForce(7, "peak");
  f.StoreMove(RunningMove("m"));
  const auto fetched =
      FetchPlatformState({.api = f.api, .random = base::SeededRandom(1)});
  REQUIRE(fetched);
  CHECK(fetched->configuration->id.version == 7);
  CHECK(fetched->configuration->content.name == "peak");
  CHECK(fetched->moves == std::vector{RunningMove("m")});
}

TEST_CASE("a starting node finds nothing in force on a new platform") {
  relay_fixture f;
  const auto fetched =
      FetchPlatformState({.api = f.api, .random = base::SeededRandom(1)});
  REQUIRE(fetched);
  CHECK(fetched->configuration == nullptr);
}

TEST_CASE("a starting node gives up on a platform that is down") {
  relay_fixture f;
  f.stand_in.SetFaults({.down = true});
  const auto fetched =
      FetchPlatformState({.api = f.api,
                          .random = base::SeededRandom(1),
                          .limit = milliseconds{20},
                          .retry = {.first = milliseconds{1}}});
  REQUIRE_FALSE(fetched);
  CHECK(fetched.Failure().Kind() == base::error_kind::kPlatformUnavailable);
}

}  // namespace
}  // namespace fireflyspar::platform
