#include "decisions/gate_choice.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace fireflyspar::decisions {
namespace {

using std::chrono::milliseconds;

constexpr base::steady_instant kNow{std::chrono::hours(1)};
constexpr base::duration kTypical = milliseconds(100);

constexpr std::array<gate_candidate, 2> kNearAndFar = {
    gate_candidate{.instance = "near", .is_near = true, .slots = 6},
    gate_candidate{.instance = "far", .is_near = false, .slots = 6}};

constexpr std::array<gate_candidate, 2> kTwoNear = {
    gate_candidate{.instance = "a", .is_near = true, .slots = 6},
    gate_candidate{.instance = "b", .is_near = true, .slots = 6}};

chosen_gate ChooseFrom(const gate_choice& choice,
                       std::span<const gate_candidate> candidates,
                       base::steady_instant now = kNow) {
  return *choice.Choose(candidates, {.typical_duration = kTypical},
                        base::SeededRandom(1), now);
}

TEST_CASE("without any report a gate in the same data centre is chosen") {
  CHECK(ChooseFrom(gate_choice(), kNearAndFar).index == 0);
}

TEST_CASE("a free gate in another data centre beats a full one in this one") {
  gate_choice choice;
  choice.OnReport("near", {.running = 6, .waiting = 12, .slots = 6}, kNow);
  choice.OnReport("far", {.slots = 6}, kNow);
  const chosen_gate chosen = ChooseFrom(choice, kNearAndFar);
  CHECK(chosen.index == 1);
  CHECK(chosen.is_expected_free);
}

TEST_CASE("when all gates are full the choice expects no free slot") {
  gate_choice choice;
  choice.OnReport("a", {.running = 6, .waiting = 9, .slots = 6}, kNow);
  choice.OnReport("b", {.running = 6, .waiting = 3, .slots = 6}, kNow);
  const chosen_gate chosen = ChooseFrom(choice, kTwoNear);
  CHECK(chosen.index == 1);
  CHECK_FALSE(chosen.is_expected_free);
}

// Guards against a fast server that is chosen though it is full, while the
// others are not: its gate must not keep the request waiting for long.
TEST_CASE("the choice tells whether another gate is expected to be free") {
  gate_choice choice;
  choice.OnReport("a", {.running = 6, .waiting = 1, .latency_ratio = 0.2},
                  kNow);
  choice.OnReport("b", {.running = 3, .latency_ratio = 3}, kNow);
  chosen_gate chosen = ChooseFrom(choice, kTwoNear);
  CHECK(chosen.index == 0);
  CHECK_FALSE(chosen.is_expected_free);
  CHECK(chosen.is_any_expected_free);
  choice.OnReport("b", {.running = 6, .waiting = 1, .latency_ratio = 3}, kNow);
  CHECK_FALSE(ChooseFrom(choice, kTwoNear).is_any_expected_free);
}

TEST_CASE("a reported load counts less with age") {
  gate_choice choice;
  choice.OnReport("a", {.running = 6, .waiting = 9, .slots = 6}, kNow);
  const auto later = kNow + std::chrono::seconds(2);
  CHECK(ChooseFrom(choice, kTwoNear, later).is_expected_free);
}

// Guards against overloading a few gates of a large service: the few servers
// that a proxy had found to be fast got all of its requests, and refused them
// when full, while the many that it had not used yet were idle.
TEST_CASE(
    "requests are spread over many gates, whether known to be fast or not") {
  constexpr int kGates = 40;
  constexpr int kRequests = 4000;
  std::vector<std::string> names(kGates);
  std::vector<gate_candidate> candidates(kGates);
  for (int i = 0; i < kGates; ++i) {
    names[i] = "gate-" + std::to_string(i);
    candidates[i] = {.instance = names[i], .is_near = i % 3 == 0, .slots = 6};
  }
  gate_choice choice;
  choice.OnReport(names[0], {.slots = 6, .latency_ratio = 0.6}, kNow);
  choice.OnReport(names[3], {.slots = 6, .latency_ratio = 0.6}, kNow);
  const base::random_hook random = base::SeededRandom(1);
  std::vector<int> chosen(kGates);
  for (int i = 0; i < kRequests; ++i) {
    ++chosen[choice
                 .Choose(candidates, {.typical_duration = kTypical}, random,
                         kNow)
                 ->index];
  }
  CHECK(std::ranges::count_if(chosen, [](int n) { return n > 0; }) >= 14);
  CHECK(*std::ranges::max_element(chosen) < kRequests / 2);
}

TEST_CASE("a reachable gate is found among many unreachable ones") {
  std::vector<std::string> names(20);
  std::vector<gate_candidate> candidates(20);
  gate_choice choice;
  for (int i = 0; i < 20; ++i) {
    names[i] = "gate-" + std::to_string(i);
    candidates[i] = {.instance = names[i], .slots = 6};
    if (i != 13) choice.OnUnreachable(names[i]);
  }
  CHECK(ChooseFrom(choice, candidates).index == 13);
}

TEST_CASE("a faster server is preferred to a slow one") {
  gate_choice choice;
  choice.OnReport("a", {.slots = 6, .latency_ratio = 8}, kNow);
  choice.OnReport("b", {.running = 2, .slots = 6, .latency_ratio = 1}, kNow);
  CHECK(ChooseFrom(choice, kTwoNear).index == 1);
}

// Guards against a server that fails half of its requests immediately: it looks
// faster and less loaded than all others, and its health check is good.
TEST_CASE("a healthy server is preferred to one that fails fast") {
  gate_choice choice;
  choice.OnReport("a", {.slots = 6, .latency_ratio = 0.3, .failure_rate = 0.5},
                  kNow);
  choice.OnReport("b", {.running = 3, .slots = 6, .latency_ratio = 1}, kNow);
  CHECK(ChooseFrom(choice, kTwoNear).index == 1);
}

// Guards against slow requests when instances are gone for good but still
// listed: each request that tried one was delayed by a failed connect.
TEST_CASE("an unreachable gate is passed over until it is reached again") {
  gate_choice choice;
  choice.OnUnreachable("a");
  choice.OnReport("b", {.running = 6, .waiting = 9, .slots = 6}, kNow);
  CHECK(ChooseFrom(choice, kTwoNear).index == 1);
  const auto later = kNow + std::chrono::seconds(20);
  choice.OnReport("b", {.running = 6, .waiting = 9, .slots = 6}, later);
  CHECK(ChooseFrom(choice, kTwoNear, later).index == 1);
  choice.OnReachable("a");
  CHECK(ChooseFrom(choice, kTwoNear, later).index == 0);
}

TEST_CASE("a report from an unreachable gate makes it usable at once") {
  gate_choice choice;
  choice.OnUnreachable("a");
  choice.OnReport("a", {.slots = 6}, kNow);
  choice.OnReport("b", {.running = 6, .waiting = 9, .slots = 6}, kNow);
  CHECK(ChooseFrom(choice, kTwoNear).index == 0);
}

TEST_CASE("requests sent since the report count as load") {
  gate_choice choice;
  choice.OnReport("a", {.slots = 2}, kNow);
  choice.OnReport("b", {.slots = 2}, kNow);
  for (int i = 0; i < 3; ++i) choice.OnSend("a");
  CHECK(ChooseFrom(choice, kTwoNear).index == 1);
}

// The load: a server with free slots that takes 10 requests a second, which is
// one at a time at 100 ms each.
TEST_CASE("a server's limit counts like fewer slots") {
  gate_choice choice;
  choice.OnReport("a", {.running = 1, .slots = 6, .requests_per_second = 10},
                  kNow);
  choice.OnReport("b", {.running = 3, .slots = 6}, kNow);
  CHECK(ChooseFrom(choice, kTwoNear).index == 1);
}

TEST_CASE("a limit that is higher than the slots allow changes nothing") {
  gate_choice choice;
  choice.OnReport("a", {.running = 1, .slots = 6, .requests_per_second = 1000},
                  kNow);
  choice.OnReport("b", {.running = 3, .slots = 6}, kNow);
  CHECK(ChooseFrom(choice, kTwoNear).index == 0);
}

TEST_CASE("without candidates there is no choice") {
  CHECK_FALSE(gate_choice().Choose({}, {.typical_duration = kTypical},
                                   base::SeededRandom(1), kNow));
}

// The load: large bodies go to gates on slow links.
TEST_CASE("a large body avoids a gate whose link is busy") {
  gate_choice choice;
  const std::vector<gate_candidate> both = {{.instance = "busy", .slots = 6},
                                            {.instance = "idle", .slots = 6}};
  const auto now = kNow;
  const gate_report idle{.slots = 6, .bytes_per_second = 1e6};
  gate_report busy = idle;
  busy.body_backlog = 1'000'000;
  choice.OnReport("busy", busy, now);
  choice.OnReport("idle", idle, now);
  const choice_request upload{.typical_duration = kTypical,
                              .body_bytes = 100'000};
  for (unsigned seed = 1; seed <= 20; ++seed) {
    const auto chosen =
        choice.Choose(both, upload, base::SeededRandom(seed), now);
    CHECK(both[chosen->index].instance == "idle");
  }
}

TEST_CASE("bodies that were just sent count as the link's backlog") {
  gate_choice choice;
  const std::vector<gate_candidate> both = {{.instance = "a", .slots = 6},
                                            {.instance = "b", .slots = 6}};
  const gate_report idle{.slots = 6, .bytes_per_second = 1e6};
  choice.OnReport("a", idle, kNow);
  choice.OnReport("b", idle, kNow);
  choice.OnSend("a", 2'000'000);
  choice.OnSend("b");
  const choice_request upload{.typical_duration = kTypical,
                              .body_bytes = 100'000};
  const auto chosen = choice.Choose(both, upload, base::SeededRandom(1), kNow);
  CHECK(both[chosen->index].instance == "b");
}

}  // namespace
}  // namespace fireflyspar::decisions
