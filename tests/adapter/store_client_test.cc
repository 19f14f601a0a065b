#include "platform/store_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <chrono>

#include "fake_store.h"

namespace fireflyspar::platform {
namespace {

using base::error_kind;
using nlohmann::json;
using proxy::stored_object;
using std::chrono::milliseconds;

constexpr char kKind[] = "things";

// Returns a revision from before any restore of the fake store.
base::store_revision InFirstEra(std::uint64_t number) {
  return {.number = number, .era = 1};
}

struct client_fixture {
  // Runs the loop until the call has ended.
  template <typename T>
  base::result<T> Wait(proxy::async_result<T> call) {
    std::optional<base::result<T>> ended;
    net::co_spawn(
        loop,
        [&call, &ended]() -> net::awaitable<void> {
          base::result<T> result = co_await std::move(call);
          ended.emplace(std::move(result));
        },
        net::detached);
    loop.restart();
    while (!ended) loop.run_one();
    return std::move(*ended);
  }

  net::io_context loop;
  base::metrics metrics;
  fake_store store{loop};
  int restores = 0;
  store_client client{{.executor = loop.get_executor(),
                       .address = store.Address(),
                       .metrics = &metrics,
                       .on_restored = [this] { ++restores; }}};
  proxy::object_store hooks = client.Hooks();
};

TEST_CASE("a list of several pages is read whole") {
  client_fixture fixture;
  fixture.store.SetPageSize(2);
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    fixture.store.Put(kKind, name, {{"n", name}});
  }
  const auto listed = fixture.Wait(fixture.hooks.list(kKind, false));
  REQUIRE(listed);
  CHECK(listed->objects.size() == 5);
  CHECK(listed->objects.back().name == "e");
  CHECK(listed->objects.back().content == json{{"n", "e"}});
}

// Guards against a list that can't be read on: the name that it goes on from
// was chosen by another writer.
TEST_CASE("a list goes on after a name that no request can hold") {
  client_fixture fixture;
  fixture.store.SetPageSize(1);
  fixture.store.Put(kKind, "a b\r\n?&#/", {{"n", 1}});
  fixture.store.Put(kKind, "c", {{"n", 2}});
  fixture.Wait(fixture.hooks.list(kKind, false));
  CHECK(fixture.store.Targets().back().ends_with(
      "?after=a%20b%0D%0A%3F%26%23%2F"));
}

TEST_CASE("a kind without objects is an empty list") {
  client_fixture fixture;
  const auto listed = fixture.Wait(fixture.hooks.list(kKind, false));
  REQUIRE(listed);
  CHECK(listed->objects.empty());
  CHECK(listed->revision.number > 0);
}

TEST_CASE("a watch returns the changes after its revision") {
  client_fixture fixture;
  const std::uint64_t before = fixture.store.Put(kKind, "a", {{"n", 1}});
  fixture.store.Put(kKind, "a", {{"n", 2}});
  fixture.store.Remove(kKind, "a");
  backend_servers::cancellation never;
  const auto watched = fixture.Wait(fixture.hooks.watch(
      kKind, InFirstEra(before), milliseconds(1000), false, never));
  REQUIRE(watched);
  REQUIRE(watched->changes.size() == 2);
  CHECK(watched->changes[0].object.content == json{{"n", 2}});
  CHECK(watched->changes[1].is_removal);
  CHECK(watched->revision.number == before + 2);
}

TEST_CASE("a watch without changes returns none after its wait") {
  client_fixture fixture;
  backend_servers::cancellation never;
  const auto watched = fixture.Wait(fixture.hooks.watch(
      kKind, InFirstEra(10), milliseconds(30), false, never));
  REQUIRE(watched);
  CHECK(watched->changes.empty());
}

TEST_CASE(
    "a watch from a revision whose history was dropped fails with that error") {
  client_fixture fixture;
  const std::uint64_t before = fixture.store.Put(kKind, "a", {{"n", 1}});
  fixture.store.Put(kKind, "a", {{"n", 2}});
  fixture.store.ForgetHistory();
  backend_servers::cancellation never;
  const auto watched = fixture.Wait(fixture.hooks.watch(
      kKind, InFirstEra(before), milliseconds(1000), false, never));
  REQUIRE_FALSE(watched);
  CHECK(watched.Failure().Kind() == error_kind::kHistoryGone);
}

TEST_CASE("a watch that may be late and the probe ask for stale reads") {
  client_fixture fixture;
  fixture.store.Put(kKind, "a", {{"n", 1}});
  backend_servers::cancellation never;
  fixture.Wait(
      fixture.hooks.watch(kKind, InFirstEra(1), milliseconds(10), true, never));
  CHECK(fixture.store.Targets().back().ends_with("&allow_stale=1"));
  CHECK(fixture.Wait(fixture.hooks.probe(milliseconds(1000))));
  CHECK(fixture.store.Targets().back().ends_with("?allow_stale=1"));
}

TEST_CASE("an object is created only once") {
  client_fixture fixture;
  const stored_object made{.name = "a", .content = {{"n", 1}}};
  const auto written = fixture.Wait(fixture.hooks.put_content(kKind, made));
  REQUIRE(written);
  CHECK(written->revision.number > 0);
  const auto again = fixture.Wait(fixture.hooks.put_content(kKind, made));
  REQUIRE_FALSE(again);
  CHECK(again.Failure().Kind() == error_kind::kConflict);
}

TEST_CASE("of two writes on one revision the first is kept") {
  client_fixture fixture;
  const std::uint64_t revision = fixture.store.Put(kKind, "a", {{"n", 1}});
  stored_object mine{
      .name = "a", .revision = InFirstEra(revision), .content = {{"n", 2}}};
  REQUIRE(fixture.Wait(fixture.hooks.put_content(kKind, mine)));
  mine.content = {{"n", 3}};
  const auto second = fixture.Wait(fixture.hooks.put_content(kKind, mine));
  REQUIRE_FALSE(second);
  CHECK(second.Failure().Kind() == error_kind::kConflict);
  CHECK((*fixture.store.Find(kKind, "a"))["spec"] == json{{"n", 2}});
}

TEST_CASE("a status is written without changing the content") {
  client_fixture fixture;
  const std::uint64_t revision = fixture.store.Put(kKind, "a", {{"n", 1}});
  const stored_object changed{.name = "a",
                              .revision = InFirstEra(revision),
                              .status = {{"state", "well"}}};
  REQUIRE(fixture.Wait(fixture.hooks.put_status(kKind, changed)));
  const json stored = *fixture.store.Find(kKind, "a");
  CHECK(stored["spec"] == json{{"n", 1}});
  CHECK(stored["status"] == json{{"state", "well"}});
}

TEST_CASE("an object is removed only if its revision is the given one") {
  client_fixture fixture;
  const std::uint64_t revision = fixture.store.Put(kKind, "a", {{"n", 1}});
  const auto wrong =
      fixture.Wait(fixture.hooks.remove(kKind, "a", InFirstEra(revision - 1)));
  REQUIRE_FALSE(wrong);
  CHECK(wrong.Failure().Kind() == error_kind::kConflict);
  CHECK(fixture.Wait(fixture.hooks.remove(kKind, "a", InFirstEra(revision))));
  CHECK_FALSE(fixture.store.Find(kKind, "a"));
}

TEST_CASE("a missing object is reported as not found") {
  client_fixture fixture;
  const auto found = fixture.Wait(fixture.hooks.get(kKind, "a", false));
  REQUIRE_FALSE(found);
  CHECK(found.Failure().Kind() == error_kind::kNotFound);
}

TEST_CASE("a rate-limited store and an unavailable one give different errors") {
  client_fixture fixture;
  fixture.store.Refuse(429, 1);
  const auto over = fixture.Wait(fixture.hooks.list(kKind, false));
  REQUIRE_FALSE(over);
  CHECK(over.Failure().Kind() == error_kind::kPlatformOverRate);
  fixture.store.Refuse(503, 1);
  const auto away = fixture.Wait(fixture.hooks.list(kKind, false));
  REQUIRE_FALSE(away);
  CHECK(away.Failure().Kind() == error_kind::kPlatformUnavailable);
}

TEST_CASE("a store write whose answer is lost may have taken effect") {
  client_fixture fixture;
  fixture.store.LoseNextAnswer();
  const stored_object made{.name = "a", .content = {{"n", 1}}};
  const auto written = fixture.Wait(fixture.hooks.put_content(kKind, made));
  REQUIRE_FALSE(written);
  CHECK(written.Failure().Kind() == error_kind::kResponseLost);
  CHECK(fixture.store.Find(kKind, "a"));
}

// These guard against a number that stands for two changes: the store is
// restored from a copy and gives the lost revisions out again.

TEST_CASE("a restore of the store is noticed once") {
  client_fixture fixture;
  fixture.store.SaveCopy();
  fixture.Wait(fixture.hooks.list(kKind, false));
  CHECK(fixture.restores == 0);
  fixture.store.RestoreCopy();
  fixture.Wait(fixture.hooks.list(kKind, false));
  fixture.Wait(fixture.hooks.probe(milliseconds(1000)));
  CHECK(fixture.restores == 1);
}

TEST_CASE("a write that depends on a lost revision is not sent") {
  client_fixture fixture;
  fixture.store.Put(kKind, "a", {{"n", 1}});
  fixture.store.SaveCopy();
  fixture.store.Put(kKind, "a", {{"n", 2}});
  auto lost = *fixture.Wait(fixture.hooks.get(kKind, "a", false));
  fixture.store.RestoreCopy();
  const std::uint64_t again = fixture.store.Put(kKind, "a", {{"n", 3}});
  REQUIRE(again == lost.revision.number);
  fixture.Wait(fixture.hooks.list(kKind, false));
  lost.content = {{"n", 4}};
  lost.status = {{"n", 4}};
  for (const auto& hook :
       {fixture.hooks.put_content, fixture.hooks.put_status}) {
    const auto written = fixture.Wait(hook(kKind, lost));
    REQUIRE_FALSE(written);
    CHECK(written.Failure().Kind() == error_kind::kConflict);
  }
  const auto removed =
      fixture.Wait(fixture.hooks.remove(kKind, "a", lost.revision));
  REQUIRE_FALSE(removed);
  CHECK((*fixture.store.Find(kKind, "a"))["spec"] == json{{"n", 3}});
}

TEST_CASE("a watch from a lost revision fails, even if the store accepts it") {
  client_fixture fixture;
  fixture.store.Put(kKind, "a", {{"n", 1}});
  fixture.store.SaveCopy();
  fixture.store.Put(kKind, "a", {{"n", 2}});
  const auto listed = fixture.Wait(fixture.hooks.list(kKind, false));
  fixture.store.RestoreCopy();
  fixture.store.Put(kKind, "a", {{"n", 3}});
  backend_servers::cancellation never;
  const auto watched = fixture.Wait(fixture.hooks.watch(
      kKind, listed->revision, milliseconds(10), false, never));
  REQUIRE_FALSE(watched);
  CHECK(watched.Failure().Kind() == error_kind::kHistoryGone);
  CHECK(fixture.restores == 1);
}

TEST_CASE("a revision of a later era is later, whatever its number") {
  const base::store_revision lost{.number = 20, .era = 1};
  const base::store_revision again{.number = 12, .era = 2};
  CHECK(lost < again);
  CHECK(again < base::store_revision{.number = 13, .era = 2});
}

}  // namespace
}  // namespace fireflyspar::platform
