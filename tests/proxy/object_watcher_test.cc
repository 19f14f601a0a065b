#include "proxy/object_watcher.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <deque>

namespace fireflyspar::proxy {
namespace {

using std::chrono::milliseconds;

// A fake store that answers watches with the test's results, in order. Watches
// beyond these wait for an hour.
struct scripted_store {
  scripted_store()
      : hooks({.list =
                   [this](const std::string&, bool allow_stale) {
                     late_lists += allow_stale ? 1 : 0;
                     return List();
                   },
               .watch =
                   [this](const std::string&, base::store_revision revision,
                          milliseconds, bool allow_stale,
                          backend_servers::cancellation& cancel) {
                     late_watches += allow_stale ? 1 : 0;
                     return Watch(revision.number, cancel);
                   },
               .get = [this](const std::string&, const std::string&,
                             bool) { return Get(); }}) {}

  async_result<object_list> List() {
    ++lists;
    object_list listed{.objects = objects, .revision = {revision}};
    co_return listed;
  }

  async_result<object_changes> Watch(std::uint64_t from,
                                     backend_servers::cancellation& cancel) {
    watched.push_back(from);
    if (watch_results.empty()) {
      net::steady_timer silent(loop, std::chrono::hours(1));
      cancel.OnCancel([&silent] { silent.cancel(); });
      boost::system::error_code ignored;
      co_await silent.async_wait(
          net::redirect_error(net::use_awaitable, ignored));
      cancel.OnCancel(nullptr);
      co_return object_changes{.revision = {from}};
    }
    base::result<object_changes> result = watch_results.front();
    watch_results.pop_front();
    co_return result;
  }

  async_result<stored_object> Get() {
    ++gets;
    if (newest.empty()) co_return base::Fail(base::error_kind::kNotFound, "");
    stored_object read = newest.front();
    if (newest.size() > 1) newest.pop_front();
    co_return read;
  }

  // Runs the watcher for this long.
  void RunWatcher(milliseconds span) {
    net::co_spawn(loop, watcher.Run(), net::detached);
    loop.run_for(span);
  }

  net::io_context loop;
  object_store hooks;
  std::vector<stored_object> objects;
  std::uint64_t revision = 1;
  std::deque<base::result<object_changes>> watch_results;
  // Returned by Get in order; the last one repeats.
  std::deque<stored_object> newest;
  int lists = 0;
  int gets = 0;
  std::vector<std::uint64_t> watched;
  bool may_be_late = false;
  int late_watches = 0;
  int late_lists = 0;
  std::vector<std::string> seen;
  base::event_log log{
      {.write = [](std::string_view bytes) { return bytes.size(); },
       .clock = base::SystemClock()}};
  object_watcher watcher{{.executor = loop.get_executor(),
                          .kind = "things",
                          .store = &hooks,
                          .log = &log,
                          .random = base::SeededRandom(1),
                          .coalesce_delay = [] { return milliseconds(1); },
                          .may_list_late = [this] { return may_be_late; },
                          .may_watch_late = [this] { return may_be_late; },
                          .latest_only_object = "main",
                          .on_list =
                              [this](const object_list& listed) {
                                for (const auto& each : listed.objects) {
                                  seen.push_back(each.name);
                                }
                              },
                          .on_change =
                              [this](const object_change& change) {
                                seen.push_back(change.object.name);
                              }}};
};

TEST_CASE("the next watch starts from the revision of the last change") {
  scripted_store store;
  store.watch_results.emplace_back(
      object_changes{.changes = {{.object = {.name = "a"}}}, .revision = {7}});
  store.RunWatcher(milliseconds(100));
  CHECK(store.lists == 1);
  CHECK(store.watched == std::vector<std::uint64_t>{1, 7});
  CHECK(store.seen == std::vector<std::string>{"a"});
}

// Guards against large responses: an operator changes a large document several
// times a second, and a watch's response would hold a copy of it for each
// change.
TEST_CASE("after several changes the object is polled until unchanged") {
  scripted_store store;
  store.watch_results.emplace_back(object_changes{
      .changes = {{.object = {.name = "a"}}, {.object = {.name = "b"}}},
      .revision = {7}});
  store.newest = {{.name = "c", .revision = {9}},
                  {.name = "d", .revision = {12}}};
  store.RunWatcher(milliseconds(100));
  CHECK(store.seen == std::vector<std::string>{"a", "b", "c", "d"});
  CHECK(store.gets == 3);
  CHECK(store.watched == std::vector<std::uint64_t>{1, 12});
  CHECK(store.lists == 1);
}

TEST_CASE("the object is not polled after a single change") {
  scripted_store store;
  store.watch_results.emplace_back(
      object_changes{.changes = {{.object = {.name = "a"}}}, .revision = {7}});
  store.RunWatcher(milliseconds(100));
  CHECK(store.gets == 0);
}

TEST_CASE("objects are listed again when the polled object can't be read") {
  scripted_store store;
  store.watch_results.emplace_back(object_changes{
      .changes = {{.object = {.name = "a"}}, {.object = {.name = "b"}}},
      .revision = {7}});
  store.RunWatcher(milliseconds(100));
  CHECK(store.gets == 1);
  CHECK(store.lists == 2);
}

// Guards against missed changes: a store stops reporting changes to its watches
// and then breaks them off. Another watch from the old revision would not
// report the missed changes.
TEST_CASE("objects are listed again after a watch failed") {
  scripted_store store;
  store.watch_results.emplace_back(
      base::Fail(base::error_kind::kPlatformUnavailable, "reset"));
  store.RunWatcher(milliseconds(500));
  CHECK(store.lists == 2);
}

TEST_CASE("objects are listed again when the history is gone") {
  scripted_store store;
  store.watch_results.emplace_back(
      base::Fail(base::error_kind::kHistoryGone, "410"));
  store.RunWatcher(milliseconds(500));
  CHECK(store.lists == 2);
}

TEST_CASE("a watch that begins anew continues from the same revision") {
  scripted_store store;
  store.watch_results.emplace_back(
      object_changes{.changes = {{.object = {.name = "a"}}}, .revision = {7}});
  store.RunWatcher(milliseconds(50));
  store.may_be_late = true;
  store.watcher.Rewatch();
  store.loop.run_for(milliseconds(50));
  CHECK(store.watched == std::vector<std::uint64_t>{1, 7, 7});
  CHECK(store.late_watches == 1);
  CHECK(store.lists == 1);
}

// Guards against a loop of calls: the store has dropped its history, and a late
// list returns a revision from before that each time.
TEST_CASE("after the history is gone the objects are not listed late") {
  scripted_store store;
  store.may_be_late = true;
  store.watch_results.emplace_back(
      base::Fail(base::error_kind::kHistoryGone, "410"));
  store.RunWatcher(milliseconds(100));
  CHECK(store.lists == 2);
  CHECK(store.late_lists == 1);
}

}  // namespace
}  // namespace fireflyspar::proxy
