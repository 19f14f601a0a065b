// The stand-in of the platform, which the tests of several libraries use.
#include "lab/platform_stand_in.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "base/metrics.h"
#include "platform/http_object_api.h"
#include "tests/free_address.h"

namespace fireflyspar::lab {
namespace {

using std::chrono::milliseconds;

// Writes, reads and watches one object until the stand-in ends.
void CallUntilTheEnd(const base::address& at, const std::string& key,
                     std::atomic<int>& answered) {
  base::metrics metrics;
  const auto api = platform::MakeHttpObjectApi({.platform_address = at,
                                                .timeout = milliseconds{10'000},
                                                .metrics = &metrics});
  std::uint64_t version = 0;
  for (;;) {
    const auto written = api.put(key, "value", version);
    if (!written) return;
    version = *written;
    if (!api.get(key)) return;
    if (!api.watch(key, 0, milliseconds{1})) return;
    ++answered;
  }
}

// Guards against tests that end by a signal, whatever they test, because a
// client called the stand-in just when it stopped.
TEST_CASE("a stand-in stops while clients call it") {
  constexpr int kRounds = 60;
  constexpr std::size_t kClients = 6;
  constexpr int kAnswersBefore = 12;
  for (int round = 0; round < kRounds; ++round) {
    platform_stand_in stand_in({.address = tests::FreeAddress()});
    REQUIRE(stand_in.Start());
    std::atomic<int> answered = 0;
    std::vector<std::jthread> clients;
    clients.reserve(kClients);
    while (clients.size() < kClients) {
      const std::string key = "watched/" + std::to_string(clients.size());
      clients.emplace_back([at = stand_in.Address(), key, &answered] {
        CallUntilTheEnd(at, key, answered);
      });
    }
    while (answered < kAnswersBefore) std::this_thread::yield();
    stand_in.Stop();
  }
  SUCCEED();
}

// A watch holds its call open; the end of the stand-in must not wait for it.
TEST_CASE("a stand-in that stops answers the calls that wait in it") {
  base::metrics metrics;
  platform_stand_in stand_in({.address = tests::FreeAddress()});
  REQUIRE(stand_in.Start());
  const auto api =
      platform::MakeHttpObjectApi({.platform_address = stand_in.Address(),
                                   .timeout = milliseconds{10'000},
                                   .metrics = &metrics});
  std::jthread stopper([&] {
    while (stand_in.Stats().calls["watch"] == 0) std::this_thread::yield();
    stand_in.Stop();
  });
  const auto watched = api.watch("watched/", 0, milliseconds{60'000});
  REQUIRE(watched);
  CHECK(watched->empty());
}

// The port is the same afterwards, as clients have one address for it.
TEST_CASE("a stand-in that refused connections for a time serves again") {
  base::metrics metrics;
  platform_stand_in stand_in({.address = tests::FreeAddress()});
  REQUIRE(stand_in.Start());
  const auto api =
      platform::MakeHttpObjectApi({.platform_address = stand_in.Address(),
                                   .timeout = milliseconds{10'000},
                                   .metrics = &metrics});
  REQUIRE(api.put("watched/a", "value", 0));
  stand_in.SetFaults({.refuse_ms = 20});
  while (api.get("watched/a")) std::this_thread::yield();
  while (!api.get("watched/a")) std::this_thread::yield();
  CHECK(api.get("watched/a")->value == "value");
}

}  // namespace
}  // namespace fireflyspar::lab
