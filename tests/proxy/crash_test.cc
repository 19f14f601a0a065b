// Requests that end the servers that run them, sent again and again through a
// small fleet of whole routers, gates and stand-in servers.
#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "crash_fleet.h"

namespace fireflyspar::proxy {
namespace {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr char kBad[] = "/s0/bad";

// Servers that such a request may end, and how often it may be sent after the
// third of them has ended.
constexpr int kMaxEnds = 3;
constexpr int kMaxRetries = 3;

// Guards against BUDGET: a request that ends the servers that run it was sent
// to servers by every instance to which it came, as long as any was up.
TEST_CASE("a request that ends servers ends no more than three") {
  crash_fleet fleet({});
  for (int i = 0; i < 40; ++i) {
    fleet.Send(i % 5, kBad);
    fleet.RunFor(milliseconds(50));
  }
  CHECK(fleet.ArrivalsOf(kBad) <= kMaxEnds + kMaxRetries);
  CHECK(fleet.Ends() <= kMaxEnds);
}

// Sends the request to the instances in turn, every 50 ms.
void SendInTurn(crash_fleet& fleet, const std::string& target, int times) {
  for (int i = 0; i < times; ++i) {
    fleet.Send(i % 5, target);
    fleet.RunFor(milliseconds(50));
  }
}

// Guards against a decision that is kept by the process that made it, or that
// ends with a process or a server.
TEST_CASE("a request stays withheld through restarts, one after the other") {
  crash_fleet fleet({});
  SendInTurn(fleet, kBad, 10);
  REQUIRE(fleet.Ends() == kMaxEnds);
  fleet.RunFor(milliseconds(600));
  for (int i = 0; i < 5; ++i) {
    fleet.RestartProcess(i);
    fleet.RunFor(milliseconds(100));
    fleet.Server(i).Crash();
    fleet.RunFor(milliseconds(500));
    SendInTurn(fleet, kBad, 5);
  }
  CHECK(fleet.ArrivalsOf(kBad) == kMaxEnds);
}

TEST_CASE("a restart between two ends of servers loses neither") {
  crash_fleet fleet({});
  for (int i = 0; i < 20; ++i) {
    fleet.Send(i % 5, kBad);
    fleet.RunFor(milliseconds(50));
    fleet.RestartProcess(i % 5);
    fleet.RunFor(milliseconds(50));
  }
  CHECK(fleet.Ends() <= kMaxEnds);
}

TEST_CASE("many instances together hold the bound") {
  crash_fleet fleet({.instances = 40});
  for (int i = 0; i < 120; ++i) {
    fleet.Send(i % 40, kBad);
    fleet.RunFor(milliseconds(10));
  }
  CHECK(fleet.Ends() <= kMaxEnds);
}

// What runs before anything is known ends a server for each copy. After that
// all copies meet at one gate: one more server, and one more by the trial.
TEST_CASE("copies that come to several instances at once end few servers") {
  constexpr int kInstances = 12;
  constexpr int kCopies = 3;
  crash_fleet fleet({.instances = kInstances});
  int unanswered = 0;
  const auto send_copies = [&](int round) {
    for (int i = 0; i < kCopies; ++i) {
      ++unanswered;
      fleet.BeginRequest((round + 4 * i) % kInstances, kBad,
                         [&](const caller_answer&) { --unanswered; });
    }
    fleet.RunFor(milliseconds(100));
  };
  for (int round = 0; round < 10; ++round) send_copies(round);
  CHECK(fleet.Ends() <= kCopies + 2);
  const int before = fleet.ArrivalsOf(kBad);
  for (int round = 0; round < 10; ++round) send_copies(round);
  while (unanswered > 0) fleet.RunFor(milliseconds(10));
  CHECK(fleet.ArrivalsOf(kBad) == before);
}

// Guards against a caller that leaves before its request ends the server, so
// that no request is in flight then.
TEST_CASE("a request whose callers leave is withheld all the same") {
  crash_fleet fleet({});
  for (int i = 0; i < 30; ++i) {
    fleet.SendAndLeave(i % 5, kBad, milliseconds(10));
    fleet.RunFor(milliseconds(60));
    // Others' requests find out that the server has ended.
    for (int other = 0; other < 5; ++other) {
      fleet.Send(other, "/s0/" + std::to_string(i * 5 + other));
    }
  }
  CHECK(fleet.ArrivalsOf(kBad) <= kMaxEnds + kMaxRetries);
}

TEST_CASE("a running server's call that ends servers is withheld") {
  crash_fleet fleet({.instances = 6, .services = 2});
  for (int i = 0; i < 24; ++i) {
    bool has_ended = false;
    const std::string parent = "parent-" + std::to_string(i);
    fleet.BeginRequest(
        i % 6, "/s1/slow", [&](const caller_answer&) { has_ended = true; }, "",
        parent);
    fleet.RunFor(milliseconds(10));
    fleet.Send(fleet.InstanceRunning(parent), kBad, "", parent + ".1");
    while (!has_ended) fleet.RunFor(milliseconds(10));
  }
  CHECK(fleet.Ends() <= kMaxEnds);
}

TEST_CASE("a process that was cut off learns of the decision when it is back") {
  crash_fleet fleet({});
  fleet.SetCutOff(4, true);
  for (int i = 0; i < 16; ++i) {
    fleet.Send(i % 4, kBad);
    fleet.RunFor(milliseconds(50));
  }
  fleet.SetCutOff(4, false);
  fleet.RunFor(milliseconds(2500));
  const int before = fleet.ArrivalsOf(kBad);
  for (int i = 0; i < 10; ++i) fleet.Send(4, kBad);
  CHECK(fleet.ArrivalsOf(kBad) == before);
}

TEST_CASE("a caller of a withheld request hears at once that it is not run") {
  crash_fleet fleet({});
  SendInTurn(fleet, kBad, 10);
  const int before = fleet.ArrivalsOf(kBad);
  for (int i = 0; i < 5; ++i) {
    const caller_answer answer = fleet.Send(i, kBad);
    CHECK(answer.status == 503);
    CHECK(std::stod(answer.retry_after) > 3000);
    CHECK(answer.not_run == "not-run");
  }
  CHECK(fleet.ArrivalsOf(kBad) == before);
}

TEST_CASE("the log leads from a refused request to the servers that ended") {
  crash_fleet fleet({});
  SendInTurn(fleet, kBad, 10);
  fleet.Send(0, kBad, "", "asked-by-its-caller");
  fleet.RunFor(milliseconds(10));
  const std::string& log = fleet.Log();
  const auto at = log.find("withheld id=asked-by-its-caller");
  REQUIRE(at != std::string::npos);
  const std::string line = log.substr(at, log.find('\n', at) - at);
  CHECK(line.find("identity=") != std::string::npos);
  CHECK(line.find("level3") != std::string::npos);
  CHECK(line.find("i-") != std::string::npos);
  CHECK(log.find("/s0/bad") == std::string::npos);
}

TEST_CASE("others' requests go on while one is withheld") {
  crash_fleet fleet({});
  SendInTurn(fleet, kBad, 10);
  fleet.RunFor(milliseconds(600));
  CHECK(fleet.Send(0, "/s0/good").status == 200);
  CHECK(fleet.Send(1, "/s0/bad?x").status == 200);
  CHECK(fleet.Send(2, "/s0/good", "a body").status == 200);
}

// The same request many times a second, at all instances.
struct frequent_requests {
  explicit frequent_requests(crash_fleet& all) : fleet(all) {}

  void RunFor(milliseconds span) {
    for (milliseconds passed{0}; passed < span; passed += milliseconds(5)) {
      ++unanswered;
      fleet.BeginRequest(sent++ % 5, "/s0/often",
                         [this](const caller_answer&) { --unanswered; });
      fleet.RunFor(milliseconds(5));
    }
  }

  void Finish() {
    while (unanswered > 0) fleet.RunFor(milliseconds(5));
  }

  crash_fleet& fleet;
  int sent = 0;
  int unanswered = 0;
};

// Returns how many refusals for ended servers the processes have counted.
int RefusalsIn(const std::string& log) {
  int count = 0;
  for (std::size_t at = log.find("servers ended under this request");
       at != std::string::npos;
       at = log.find("servers ended under this request", at + 1)) {
    ++count;
  }
  return count;
}

// Guards against refusing a service's most frequent request, which is in flight
// whenever one of its servers ends.
TEST_CASE("the most frequent request is never refused for ended servers") {
  crash_fleet fleet({});
  frequent_requests often(fleet);
  often.RunFor(milliseconds(500));
  SECTION("all servers end at once, twice") {
    for (int round = 0; round < 2; ++round) {
      for (int i = 0; i < 5; ++i) fleet.Server(i).Crash();
      often.RunFor(milliseconds(1500));
    }
  }
  SECTION("the servers end one by one") {
    for (int round = 0; round < 3; ++round) {
      for (int i = 0; i < 5; ++i) {
        fleet.Server(i).Crash();
        often.RunFor(milliseconds(60));
      }
      often.RunFor(milliseconds(600));
    }
  }
  SECTION("another request ends servers") {
    for (int i = 0; i < 10; ++i) {
      fleet.BeginRequest(i % 5, kBad, [](const caller_answer&) {});
      often.RunFor(milliseconds(100));
    }
    CHECK(fleet.ArrivalsOf(kBad) <= kMaxEnds);
  }
  often.RunFor(milliseconds(500));
  often.Finish();
  for (int i = 0; i < 5; ++i) {
    for (const decisions::suspect* each : fleet.Suspects(i).All()) {
      const bool is_held = decisions::IsHeld(*each, steady::now());
      CHECK((!is_held || fleet.ArrivalsOf(kBad) > 0));
    }
  }
  const int refused = RefusalsIn(fleet.Log());
  CHECK((refused == 0 || fleet.ArrivalsOf(kBad) > 0));
}

TEST_CASE(
    "a request whose answer is lost at a server that lives is no suspect") {
  crash_fleet fleet({.server = {.loses_answer = [](std::string_view target) {
                       return target == "/s0/unlucky";
                     }}});
  for (int i = 0; i < 12; ++i) fleet.Send(i % 5, "/s0/unlucky");
  for (int i = 0; i < 5; ++i) CHECK(fleet.Suspects(i).IsEmpty());
  CHECK(fleet.ArrivalsOf("/s0/unlucky") >= 12);
}

// Guards against the service being gone for others while one request ends its
// servers.
TEST_CASE("others are served while a request ends servers") {
  crash_fleet fleet({});
  int sent = 0;
  int served = 0;
  int unanswered = 0;
  for (int i = 0; i < 300; ++i) {
    ++unanswered;
    ++sent;
    fleet.BeginRequest(i % 5, "/s0/" + std::to_string(i),
                       [&](const caller_answer& answer) {
                         --unanswered;
                         if (answer.status == 200) ++served;
                       });
    if (i % 10 == 0) {
      fleet.BeginRequest((i / 10) % 5, kBad, [](const caller_answer&) {});
    }
    fleet.RunFor(milliseconds(10));
  }
  while (unanswered > 0) fleet.RunFor(milliseconds(5));
  WARN("served " << served << " of " << sent << ", servers ended "
                 << fleet.Ends());
  CHECK(served * 10 >= sent * 9);
}

}  // namespace
}  // namespace fireflyspar::proxy
