#include "lab/balancing_experiment.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <iostream>
#include <queue>
#include <vector>

#include "base/settings.h"
#include "decisions/admission.h"
#include "decisions/balancer.h"

namespace fireflyspar::lab {
namespace {

using base::duration;
using base::instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

enum class policy { kRoundRobin, kRandom, kLeastReported, kTwoChoices };
enum class scenario { kNone, kSlow, kCold, kMisreportsLoad };

constexpr std::array kPolicies = {
    std::pair{policy::kRoundRobin, "round_robin"},
    std::pair{policy::kRandom, "random"},
    std::pair{policy::kLeastReported, "least_reported_load"},
    std::pair{policy::kTwoChoices, "two_choices"}};
constexpr std::array kScenarios = {
    std::pair{scenario::kNone, "none"}, std::pair{scenario::kSlow, "one_slow"},
    std::pair{scenario::kCold, "one_cold"},
    std::pair{scenario::kMisreportsLoad, "one_lies"}};

constexpr int kServers = 5;
constexpr int kSlots = 6;
constexpr double kWorkMicroseconds = 10'000;
// The five servers together can run 3,000 calls a second.
constexpr double kCallsPerSecond = 2'000;
constexpr seconds kLength{30};
constexpr int kSlowFactor = 5;
// The interval at which the servers' load reports are refreshed, and so the
// greatest age of a report that the policy kLeastReported reads.
constexpr milliseconds kReportInterval{1000};

struct event {
  instant at;
  bool is_arrival = false;
  int server = 0;
  std::uint64_t call = 0;

  bool operator>(const event& other) const { return at > other.at; }
};

struct tally {
  std::vector<double> latencies;
  std::int64_t shed = 0;
  std::int64_t calls = 0;
};

class simulation {
 public:
  simulation(std::uint64_t seed, policy tested_policy, scenario tested_scenario)
      : random_(base::SeededRandom(seed)),
        policy_(tested_policy),
        scenario_(tested_scenario) {
    for (decisions::admission& gate : gates_) {
      gate.SetServer(decisions::server_state::kServing, kSlots, begin_);
    }
    if (scenario_ == scenario::kCold) {
      gates_[0].SetServer(decisions::server_state::kAbsent, kSlots, begin_);
      gates_[0].SetServer(decisions::server_state::kStarting, kSlots, begin_);
    }
    if (scenario_ == scenario::kMisreportsLoad) misreports_load_[0] = true;
  }

  tally Run() {
    events_.push({.at = begin_, .is_arrival = true});
    while (!events_.empty()) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      if (next.is_arrival) {
        HandleArrival();
      } else {
        FinishCall(next.server, next.call);
      }
    }
    return std::move(tally_);
  }

 private:
  struct call_state {
    instant arrived;
    duration work_time{};
  };

  double Exponential(double mean) {
    return -mean * std::log(1.0 - base::ToUnitInterval(random_()));
  }

  // Draws a call's work time. It is five times as long at a slow server, at one
  // that misreports its load, and at a cold one in its first ten seconds.
  duration DrawWorkTime(int server) {
    const bool is_slow =
        server == 0 &&
        (scenario_ == scenario::kSlow ||
         (scenario_ == scenario::kCold && now_ - begin_ < seconds(10)) ||
         scenario_ == scenario::kMisreportsLoad);
    const double factor = is_slow ? kSlowFactor : 1;
    return duration(
        static_cast<std::int64_t>(Exponential(kWorkMicroseconds * factor)) + 1);
  }

  int Choose() {
    const auto any = [this] { return static_cast<int>(random_() % kServers); };
    switch (policy_) {
      case policy::kRoundRobin:
        return static_cast<int>(tally_.calls % kServers);
      case policy::kRandom:
        return any();
      case policy::kLeastReported: {
        RefreshReports();
        const auto least = std::ranges::min_element(reports_);
        return static_cast<int>(least - reports_.begin());
      }
      case policy::kTwoChoices:
        break;
    }
    std::array<decisions::server_candidate, kServers> candidates;
    for (int server = 0; server < kServers; ++server) {
      candidates[server] = {.id = kNames[server], .slots = kSlots};
    }
    return static_cast<int>(*balancer_.Choose(candidates, {}, random_, now_));
  }

  void RefreshReports() {
    if (now_ - reports_refreshed_at_ < kReportInterval) return;
    reports_refreshed_at_ = now_;
    for (int server = 0; server < kServers; ++server) {
      reports_[server] =
          misreports_load_[server] ? 0 : OutstandingCalls(server);
    }
  }

  int OutstandingCalls(int server) const {
    return gates_[server].InFlight() + gates_[server].Waiting();
  }

  void HandleArrival() {
    const duration gap(
        static_cast<std::int64_t>(Exponential(1e6 / kCallsPerSecond)) + 1);
    if (now_ + gap < begin_ + kLength) {
      events_.push({.at = now_ + gap, .is_arrival = true});
    }
    const int server = Choose();
    const std::uint64_t call = calls_.size();
    calls_.push_back({.arrived = now_});
    ++tally_.calls;
    balancer_.OnDispatch(kNames[server], now_);
    const auto verdict = gates_[server].Enter(call, now_ + seconds(2), now_);
    if (verdict.step == decisions::admission_step::kRun) {
      StartCall(server, call);
    }
    if (verdict.step == decisions::admission_step::kRefuse) HandleShed(server);
  }

  void StartCall(int server, std::uint64_t call) {
    calls_[call].work_time = DrawWorkTime(server);
    events_.push(
        {.at = now_ + calls_[call].work_time, .server = server, .call = call});
  }

  void HandleShed(int server) {
    ++tally_.shed;
    balancer_.OnEnd(kNames[server], decisions::call_ending::kShed, {}, now_);
    balancer_.OnGateLoad(kNames[server], OutstandingCalls(server), now_);
  }

  void FinishCall(int server, std::uint64_t call) {
    const duration latency = now_ - calls_[call].arrived;
    tally_.latencies.push_back(static_cast<double>(latency.count()));
    const auto queued_verdicts =
        gates_[server].Leave({.duration = calls_[call].work_time}, now_);
    balancer_.OnEnd(kNames[server], decisions::call_ending::kGood, latency,
                    now_);
    balancer_.OnGateLoad(kNames[server], OutstandingCalls(server), now_);
    for (const decisions::queued_verdict& queued : queued_verdicts) {
      if (queued.verdict.step == decisions::admission_step::kRun) {
        StartCall(server, queued.ticket);
      } else {
        HandleShed(server);
      }
    }
  }

  static constexpr std::array<std::string_view, kServers> kNames = {
      "s0", "s1", "s2", "s3", "s4"};

  base::random_hook random_;
  policy policy_;
  scenario scenario_;
  instant begin_{std::chrono::hours(1)};
  instant now_ = begin_;
  std::array<decisions::admission, kServers> gates_;
  std::array<bool, kServers> misreports_load_{};
  std::array<int, kServers> reports_{};
  instant reports_refreshed_at_;
  decisions::balancer balancer_;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::vector<call_state> calls_;
  tally tally_;
};

double Quantile99Milliseconds(std::vector<double> latencies) {
  if (latencies.empty()) return 0;
  constexpr double kQuantile = 0.99;
  constexpr double kMicrosecondsPerMillisecond = 1000;
  std::ranges::sort(latencies);
  const auto rank = static_cast<std::size_t>(
      kQuantile * static_cast<double>(latencies.size() - 1));
  return latencies[rank] / kMicrosecondsPerMillisecond;
}

}  // namespace

nlohmann::json RunBalancingExperiment(std::uint64_t seed) {
  nlohmann::json report = {{"experiment", "balancing"}, {"seed", seed}};
  for (const auto& [tested_scenario, scenario_name] : kScenarios) {
    for (const auto& [tested_policy, policy_name] : kPolicies) {
      const tally result =
          simulation(seed, tested_policy, tested_scenario).Run();
      report[scenario_name][policy_name] = {
          {"p99_ms", Quantile99Milliseconds(result.latencies)},
          {"shed_share", static_cast<double>(result.shed) /
                             static_cast<double>(result.calls)},
          {"calls", result.calls}};
    }
  }
  return report;
}

int RunBalancingCommand(std::span<const std::string> arguments) {
  const std::vector<base::setting> table = {
      {.name = "seed",
       .kind = base::setting_kind::kNumber,
       .default_text = "1",
       .help = "seed of the random numbers"}};
  const auto line = base::ParseCommandLine(
      {.program = "fireflyspar-lab experiment balancing",
       .summary = "compares load balancing policies in virtual time",
       .table = table},
      arguments);
  if (!line.parsed) return line.exit_code;
  const auto seed = static_cast<std::uint64_t>(line.parsed->Number("seed"));
  std::cout << RunBalancingExperiment(seed).dump() << std::endl;
  return 0;
}

}  // namespace fireflyspar::lab
