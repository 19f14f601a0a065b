// A soak of a request that ends servers: it comes to all instances, from
// callers that wait or leave, while servers end for no reason too, processes
// are restarted one after the other and gates are cut off, in series that
// overlap. Others' requests go on all the while.
//
// FIREFLYSPAR_SOAK_SEEDS=FIRST-LAST runs other seeds than CI does.
#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "../soak_seeds.h"
#include "crash_fleet.h"

namespace fireflyspar::proxy {
namespace {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr int kInstances = 5;
constexpr char kBad[] = "/s0/bad";
constexpr char kOften[] = "/s0/often";

// Sent after three servers have ended and all have had time to hear of it.
constexpr int kMaxRetries = 3;

constexpr milliseconds kTroubled{2500};
constexpr milliseconds kSettling{1000};
constexpr milliseconds kAfterwards{2000};
constexpr milliseconds kStep{10};

class crash_soak {
 public:
  explicit crash_soak(std::uint64_t seed) : random_(base::SeededRandom(seed)) {}

  void Run() {
    for (milliseconds passed{0}; passed < kTroubled; passed += kStep) {
      if (random_() % 12 == 0) CauseTrouble();
      if (random_() % 8 == 0) SendBad();
      SendOthers();
      fleet_.RunFor(kStep);
    }
    for (int i = 0; i < kInstances; ++i) fleet_.SetCutOff(i, false);
    fleet_.RunFor(kSettling);
    // What did not come often enough before may still have to be found out.
    while (fleet_.ArrivalsOf(kBad) < 3) Send(kBad);
    fleet_.RunFor(kSettling);
    const int before = fleet_.ArrivalsOf(kBad);
    for (milliseconds passed{0}; passed < kAfterwards; passed += kStep) {
      if (passed.count() % 500 == 0) fleet_.RestartProcess(next_restart_++ % 5);
      if (passed.count() % 50 == 0) SendBad();
      SendOthers();
      fleet_.RunFor(kStep);
    }
    arrivals_afterwards_ = fleet_.ArrivalsOf(kBad) - before;
    while (unanswered_ > 0) fleet_.RunFor(kStep);
  }

  int ArrivalsAfterwards() const { return arrivals_afterwards_; }

  // Returns the most requests that any process withholds.
  int MostWithheld() const {
    int most = 0;
    for (int i = 0; i < kInstances; ++i) {
      int withheld = 0;
      for (const decisions::suspect* each : fleet_.Suspects(i).All()) {
        if (decisions::IsHeld(*each, steady::now())) ++withheld;
      }
      most = std::max(most, withheld);
    }
    return most;
  }

  // Returns whether others' requests are served at all instances.
  bool ServesOthers() {
    fleet_.RunFor(kSettling);
    for (int i = 0; i < kInstances; ++i) {
      if (fleet_.Send(i, kOften).status != 200) return false;
      if (fleet_.Send(i, "/s0/last" + std::to_string(i)).status != 200) {
        return false;
      }
    }
    return true;
  }

 private:
  int AnyInstance() { return static_cast<int>(random_() % kInstances); }

  void CauseTrouble() {
    switch (random_() % 4) {
      case 0:
        fleet_.Server(AnyInstance()).Crash();
        break;
      case 1:
        fleet_.RestartProcess(AnyInstance());
        break;
      case 2:
        fleet_.SetCutOff(AnyInstance(), true);
        break;
      default:
        fleet_.SetCutOff(AnyInstance(), false);
    }
  }

  void Send(const std::string& target) {
    ++unanswered_;
    fleet_.BeginRequest(AnyInstance(), target,
                        [this](const caller_answer&) { --unanswered_; });
    if (target == kBad) fleet_.RunFor(milliseconds(100));
  }

  void SendBad() {
    if (random_() % 4 == 0) {
      fleet_.SendAndLeave(AnyInstance(), kBad, milliseconds(10));
      return;
    }
    ++unanswered_;
    fleet_.BeginRequest(AnyInstance(), kBad,
                        [this](const caller_answer&) { --unanswered_; });
  }

  void SendOthers() {
    Send(kOften);
    Send("/s0/" + std::to_string(++last_));
  }

  base::random_hook random_;
  crash_fleet fleet_{{}};
  int unanswered_ = 0;
  int last_ = 0;
  int next_restart_ = 0;
  int arrivals_afterwards_ = 0;
};

// Guards against BUDGET, and against refusing others for it.
TEST_CASE("a request that ends servers is withheld through all trouble") {
  const auto seeds = tests::SoakSeeds({.first = 1, .last = 5});
  for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
    CAPTURE(seed);
    crash_soak soak(seed);
    soak.Run();
    CHECK(soak.ArrivalsAfterwards() <= kMaxRetries);
    CHECK(soak.MostWithheld() <= 1);
    CHECK(soak.ServesOthers());
  }
}

}  // namespace
}  // namespace fireflyspar::proxy
