// Requests that reach a proxy after it was told to end, up to the last moment:
// what can't end in time is refused before a server gets it, and what a server
// got ends with its answer.
#include <array>
#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "../soak_seeds.h"
#include "shutdown_fleet.h"

namespace fireflyspar::app {
namespace {

constexpr int kEnding = 0;  // It has a server, too.

// Of the rules: a request that was sent no later than this after the signal may
// be broken off in the last sixth of the grace time.
constexpr milliseconds kEarly{3000};
constexpr milliseconds kLastSixth = shutdown_fleet::kGrace * 5 / 6;

struct late_run {
  std::uint64_t seed = 0;
  std::vector<std::string> faults;
  int late_runs = 0;      // Requests after the signal that a server ran.
  int late_refusals = 0;  // And those that were refused.
};

// Returns what is wrong with a request; empty if nothing is.
std::string FaultOf(const request_end& each, steady::time_point signalled_at,
                    steady::time_point process_end) {
  const bool was_passed_on = each.runs > 0;
  if (each.runs > 1 && each.sent.route == fleet_route::kOrder) return "TWICE";
  if (each.status == 503 && was_passed_on) return "REFUSED";
  const bool is_of_ending = each.sent.instance == kEnding;
  if (!is_of_ending) return each.status == 0 ? "LOST elsewhere" : "";
  constexpr milliseconds kWriteTime{50};
  const bool has_answer =
      each.status != 0 && each.ended_at <= process_end + kWriteTime;
  if (!was_passed_on) return "";
  const bool is_early = each.sent_at <= signalled_at + kEarly;
  const bool outlasts =
      !each.run_ended_at || *each.run_ended_at >= signalled_at + kLastSixth;
  const bool may_be_broken_off = is_early && outlasts;
  if (may_be_broken_off) return has_answer ? "" : "LOST at the end";
  if (!has_answer) return "LOST";
  const bool is_servers = each.status == 200 || each.status == 504;
  return is_servers && each.has_own_body ? "" : "LOST: replaced";
}

// One of four proxies ends under load. New and kept connections bring requests
// and nested calls at all moments until it is gone; other proxies offer theirs
// to its gate.
late_run RunLate(std::uint64_t seed) {
  std::mt19937 random(static_cast<unsigned>(seed));
  const auto draw = [&random](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random);
  };
  shutdown_fleet fleet;
  std::vector<int> kept;
  constexpr int kKept = 150;
  kept.reserve(kKept);
  for (int i = 0; i < kKept; ++i) kept.push_back(fleet.KeepConnection(kEnding));
  // Those that run at the server here make nested calls.
  constexpr int kParents = 3;
  for (int i = 0; i < kParents; ++i) {
    fleet.Send({.instance = kEnding,
                .work = milliseconds(6500),
                .deadline = milliseconds(8000),
                .id = "parent-" + std::to_string(i)});
  }
  const auto draw_request = [&](int instance) {
    constexpr std::array kBodies = {0U, 0U, 100U, 20'000U};
    sent_request request{
        .instance = instance,
        .route = draw(0, 1) == 0 ? fleet_route::kOrder : fleet_route::kUrgent,
        .work = milliseconds(draw(0, 9) == 0 ? draw(500, 3000) : draw(5, 150)),
        .deadline = milliseconds(draw(500, 8000)),
        .body_bytes = kBodies.at(static_cast<std::size_t>(draw(0, 3)))};
    if (request.body_bytes > 0 && draw(0, 2) == 0) {
      request.body_pause = milliseconds(draw(10, 2500));
    }
    return request;
  };
  int nested = 0;
  const auto send_some = [&] {
    fleet.Send(draw_request(kEnding));
    if (draw(0, 2) == 0) fleet.Send(draw_request(draw(1, 3)));
    if (!kept.empty() && draw(0, 1) == 0) {
      fleet.SendOnKept(kept.back(), draw_request(kEnding));
      kept.pop_back();
    }
    if (draw(0, 1) == 0) {
      sent_request call = draw_request(kEnding);
      call.id = "parent-" + std::to_string(draw(0, kParents - 1)) + "." +
                std::to_string(++nested);
      fleet.Send(call);
    }
  };
  constexpr milliseconds kPause{25};
  for (milliseconds before{0}; before < milliseconds(700); before += kPause) {
    send_some();
    fleet.RunFor(kPause);
  }
  const auto signalled_at = steady::now();
  fleet.End(kEnding);
  while (!fleet.EndedAt(kEnding)) {
    send_some();
    fleet.RunFor(kPause);
  }
  fleet.RunToEnd();
  late_run result{.seed = seed};
  for (const request_end& each : fleet.Ends()) {
    if (each.sent_at > signalled_at && each.sent.instance == kEnding) {
      if (each.runs > 0) ++result.late_runs;
      if (each.status == 503) ++result.late_refusals;
    }
    const std::string fault =
        FaultOf(each, signalled_at, *fleet.EndedAt(kEnding));
    if (fault.empty()) continue;
    const auto sent_after =
        std::chrono::duration_cast<milliseconds>(each.sent_at - signalled_at);
    result.faults.push_back(fault + " " + each.id + " status " +
                            std::to_string(each.status) + " sent after " +
                            std::to_string(sent_after.count()) + " ms");
  }
  return result;
}

// Guards against requests that a process takes late in its grace time and cuts
// at the end, and against answers in the place of their servers'.
TEST_CASE("what comes late in the grace time is answered or not passed on") {
  const tests::seed_range seeds = tests::SoakSeeds({.first = 1, .last = 4});
  constexpr std::uint64_t kAtOnce = 4;
  for (auto from = seeds.first; from <= seeds.last; from += kAtOnce) {
    const auto last = std::min(from + kAtOnce - 1, seeds.last);
    std::vector<late_run> results(last - from + 1);
    std::vector<std::thread> threads;
    for (late_run& each : results) {
      const auto seed =
          from + static_cast<std::uint64_t>(&each - results.data());
      threads.emplace_back([&each, seed] { each = RunLate(seed); });
    }
    for (std::thread& each : threads) each.join();
    for (const late_run& each : results) {
      CAPTURE(each.seed, each.faults);
      CHECK(each.faults.empty());
      CHECK(each.late_runs > 0);
      CHECK(each.late_refusals > 0);
    }
  }
}

}  // namespace
}  // namespace fireflyspar::app
