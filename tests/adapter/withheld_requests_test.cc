// Decisions to withhold a request, kept in a store that follows the published
// protocol, over sockets.
#include "app/withheld_requests.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "fake_store.h"
#include "platform/names.h"
#include "platform/proxy_command.h"

namespace fireflyspar::platform {
namespace {

using decisions::request_identity;
using decisions::suspicion;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr char kService[] = "stock";
constexpr char kDigest[] = "0123456789abcdef0123456789abcdef";
constexpr char kName[] = "0123456789abcdef0123456789abcdef-stock";

// Limit of a wait. It is reached only on failure.
constexpr std::chrono::seconds kBackstop{60};

// A process, as far as it keeps decisions in the store.
struct keeping_process {
  keeping_process(net::io_context& loop, const base::address& at,
                  const std::string& instance)
      : store(adapter.connect_store(loop.get_executor(), at, &metrics, [] {})),
        kept({.executor = loop.get_executor(),
              .store = &store,
              .log = &log,
              .random = base::SeededRandom(1),
              .clock = base::SystemClock(),
              .kind = kWithheldKind,
              .instance = instance,
              .suspects = &suspects,
              .look_pause = milliseconds(10),
              .read_pause = milliseconds(40)}) {
    net::co_spawn(loop, kept.Run(), net::detached);
  }

  // Three servers end under the request at this process's gate.
  void Decide() {
    for (int i = 0; i < 3; ++i) {
      const auto* const known = suspects.Find(kService, Identity());
      const auto now = steady::now();
      suspects.OnServerEnd(
          {.service = kService,
           .version = "v1",
           .identity = Identity(),
           .admission = decisions::crash_suspects::Admit(known, "v1", now),
           .server = {"i-" + std::to_string(i), 1},
           .instance = "n1"},
          now);
    }
  }

  bool Withholds() const {
    const auto* const known = suspects.Find(kService, Identity());
    return known != nullptr && decisions::Judge(*known, "v1", steady::now()) ==
                                   suspicion::kWithheld;
  }

  static request_identity Identity() {
    return {.head_hash = 7, .digest = kDigest};
  }

  app::platform_adapter adapter = Adapter("unused");
  base::metrics metrics;
  base::event_log log{
      {.write = [](std::string_view bytes) { return bytes.size(); },
       .clock = base::SystemClock()}};
  decisions::crash_suspects suspects;
  proxy::object_store store;
  app::withheld_requests kept;
};

struct store_fixture {
  keeping_process& Start(const std::string& instance) {
    processes.push_back(
        std::make_unique<keeping_process>(loop, store.Address(), instance));
    return *processes.back();
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    const auto end = steady::now() + kBackstop;
    while (!condition()) {
      if (steady::now() >= end) return false;
      loop.restart();
      loop.run_for(milliseconds(2));
    }
    return true;
  }

  void RunFor(milliseconds span) {
    const auto end = steady::now() + span;
    RunUntil([end] { return steady::now() >= end; });
  }

  bool IsStored() const { return store.Find(kWithheldKind, kName).has_value(); }

  net::io_context loop;
  fake_store store{loop};
  std::vector<std::unique_ptr<keeping_process>> processes;
};

// Guards against a decision that ends with the processes that know it.
TEST_CASE("a decision outlives the end of all processes") {
  store_fixture fixture;
  fixture.Start("n1").Decide();
  REQUIRE(fixture.RunUntil([&] { return fixture.IsStored(); }));
  keeping_process& later = fixture.Start("n2");
  CHECK(fixture.RunUntil([&] { return later.Withholds(); }));
}

TEST_CASE("a decision is written when the store is back") {
  store_fixture fixture;
  fixture.store.Refuse(503, 6);
  fixture.Start("n1").Decide();
  CHECK(fixture.RunUntil([&] { return fixture.IsStored(); }));
}

TEST_CASE("a decision whose write was not answered is written once") {
  store_fixture fixture;
  keeping_process& tested = fixture.Start("n1");
  fixture.RunFor(milliseconds(100));
  fixture.store.LoseNextAnswer();
  tested.Decide();
  CHECK(fixture.RunUntil([&] { return fixture.IsStored(); }));
  CHECK(tested.Withholds());
}

TEST_CASE("an operator ends a decision by deleting its object") {
  store_fixture fixture;
  keeping_process& decider = fixture.Start("n1");
  decider.Decide();
  REQUIRE(fixture.RunUntil([&] { return fixture.IsStored(); }));
  keeping_process& other = fixture.Start("n2");
  REQUIRE(fixture.RunUntil([&] { return other.Withholds(); }));
  fixture.store.Remove(kWithheldKind, kName);
  CHECK(fixture.RunUntil(
      [&] { return !decider.Withholds() && !other.Withholds(); }));
  fixture.RunFor(milliseconds(200));
  CHECK_FALSE(fixture.IsStored());
}

// Guards against a decision that a store restored from an older copy takes
// back.
TEST_CASE("a decision that the restored store lacks is written again") {
  store_fixture fixture;
  fixture.store.SaveCopy();
  keeping_process& tested = fixture.Start("n1");
  tested.Decide();
  REQUIRE(fixture.RunUntil([&] { return fixture.IsStored(); }));
  fixture.store.RestoreCopy();
  REQUIRE_FALSE(fixture.IsStored());
  CHECK(fixture.RunUntil([&] { return fixture.IsStored(); }));
  CHECK(tested.Withholds());
}

TEST_CASE("an object that can't be read withholds nothing") {
  store_fixture fixture;
  fixture.store.Put(kWithheldKind, kName, {{"request", 1}});
  fixture.store.Put(kWithheldKind, "other", "text");
  keeping_process& tested = fixture.Start("n1");
  fixture.RunFor(milliseconds(100));
  CHECK_FALSE(tested.Withholds());
  tested.Decide();
  fixture.RunFor(milliseconds(100));
  CHECK(tested.Withholds());
}

TEST_CASE("a day without decisions costs one call to the store") {
  store_fixture fixture;
  fixture.Start("n1");
  fixture.RunFor(milliseconds(300));
  CHECK(fixture.store.Targets().size() == 1);
}

}  // namespace
}  // namespace fireflyspar::platform
