// The operator orders a roll-out from v9 to v10; as many servers of v10 as of
// v9 run beside each other. Half of the proxies are killed and start again
// while the store is slow. Some time later v10 turns bad. Counts the requests
// that reach v10 long after that.
#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <iostream>
#include <map>
#include <mutex>

#include "../standins-2/deployment.h"

namespace fireflyspar::review {
namespace {

constexpr std::size_t kFirstMachines = 12;
constexpr std::size_t kMachines = 14;

// The machines whose proxies are killed: half of all. No server of the service
// is beside them.
constexpr std::size_t kFirstKilled = 2;
constexpr std::size_t kKilled = 7;

constexpr milliseconds kDeadline{1200};
constexpr milliseconds kWork{20};
// Between two requests of one machine's clients: at the machines whose proxies
// are killed, and at the others.
constexpr milliseconds kBetween{12};
constexpr milliseconds kBetweenElsewhere{40};

// The store's answers take 4 ms, and up to 60 times as long while it is slow.
constexpr milliseconds kAnswerTime{4};
constexpr milliseconds kSlowLeast{10};
constexpr milliseconds kSlowMost{240};
constexpr milliseconds kSlowTime{1200};

// From the order on.
constexpr milliseconds kNewServersAfter{500};
constexpr milliseconds kTroubleAfter{900};
constexpr milliseconds kRestartTime{500};
constexpr milliseconds kBadAfter{3500};
constexpr milliseconds kPeriod{16'000};

// From the outcome until the operator drains the new servers.
constexpr milliseconds kDrainsAfter{8000};

// Bounds of the deployment.
constexpr milliseconds kStableWindow{3000};
constexpr milliseconds kRollback{5000};
constexpr int kBadAnswers = 50;
constexpr double kExposeShare = 0.1;
constexpr int kExposeSlack = 50;

constexpr int kOk = 200;
constexpr int kFailed = 500;

const route_options kRoute{.name = "r-balance",
                           .host = "balance.example",
                           .path_prefix = "/balance/",
                           .kind = "unsafe",
                           .service = "counter-desk",
                           .timeout = "1200ms"};

// A request that a server of v10 ran.
struct new_version_run {
  std::string id;
  steady::time_point at;
};

// What clients sent and servers ran.
class observations {
 public:
  void OnSent(const std::string& id, std::size_t from) {
    const std::lock_guard lock(mutex_);
    sent_[id] = {.at = steady::now(), .from = from};
  }
  void OnRun() { ++runs_; }
  void OnNewVersionRun(const std::string& id) {
    const std::lock_guard lock(mutex_);
    new_version_.push_back({.id = id, .at = steady::now()});
  }
  void OnBadAnswer() {
    const std::lock_guard lock(mutex_);
    bad_answers_.push_back(steady::now());
  }

  // Checks the rule. Machines are in touch, and the core is stable, from
  // `stable_from` on, and before `trouble_at`.
  bool IsBroken(steady::time_point trouble_at, steady::time_point stable_from,
                record& log);

 private:
  struct sent_request {
    steady::time_point at;
    std::size_t from = 0;
  };

  std::mutex mutex_;  // Protects the members below.
  std::map<std::string, sent_request> sent_;
  std::vector<new_version_run> new_version_;
  std::vector<steady::time_point> bad_answers_;
  std::atomic<int> runs_ = 0;
};

bool observations::IsBroken(steady::time_point trouble_at,
                            steady::time_point stable_from, record& log) {
  const std::lock_guard lock(mutex_);
  const auto is_in_touch = [&](steady::time_point at) {
    return at < trouble_at || at >= stable_from;
  };
  std::erase_if(bad_answers_, [&](const auto& at) { return at < stable_from; });
  std::ranges::sort(bad_answers_);
  const bool has_limit = bad_answers_.size() >= kBadAnswers;
  const auto limit = has_limit ? bad_answers_[kBadAnswers - 1] + kRollback
                               : steady::time_point::max();
  int exposed = 0;
  std::map<std::size_t, int> late;  // By the machine of the client.
  for (const new_version_run& each : new_version_) {
    const sent_request& sent = sent_[each.id];
    if (!is_in_touch(sent.at)) continue;
    ++exposed;
    if (sent.at > limit) ++late[sent.from];
  }
  const double allowed = kExposeShare * runs_ + kExposeSlack;
  log.Write("runs of the service: " + std::to_string(runs_) +
            ", of v10 from machines in touch: " + std::to_string(exposed) +
            ", allowed: " + std::to_string(allowed));
  log.Write("bad answers of v10 while the core is stable: " +
            std::to_string(bad_answers_.size()));
  for (const auto& [from, count] : late) {
    log.Write(
        "requests that reached v10 later than `rollback` after the "
        "50th bad answer, from machine " +
        std::to_string(from) + ": " + std::to_string(count));
  }
  return !late.empty() || exposed > allowed;
}

// The clients of one machine send requests until the end.
void SendRequests(const endpoint& to, std::size_t index,
                  const std::atomic<bool>& is_over, observations& seen) {
  const bool is_killed =
      index >= kFirstKilled && index < kFirstKilled + kKilled;
  std::deque<std::thread> clients;
  while (!is_over) {
    clients.emplace_back([&to, index, &seen] {
      const http_message request =
          MakeRequest(kRoute, "/balance/1", "POST", kDeadline);
      seen.OnSent(request.Header("Request-Id"), index);
      Call(to, request, kDeadline);
    });
    std::this_thread::sleep_for(is_killed ? kBetween : kBetweenElsewhere);
    constexpr std::size_t kMostThreads = 120;
    if (clients.size() < kMostThreads) continue;
    clients.front().join();
    clients.pop_front();
  }
  for (std::thread& each : clients) each.join();
}

int Run(const std::string& folder) {
  record log(folder);
  observations seen;
  std::atomic<bool> is_bad = false;
  std::atomic<bool> is_over = false;
  const auto machine_of = [](const std::string& name, const std::string& zone,
                             const std::string& service,
                             const std::string& version, bool is_added_later) {
    return machine_options{.name = name,
                           .zone = zone,
                           .service = service,
                           .slots = 18,
                           .version = version,
                           .is_added_later = is_added_later};
  };
  deployment deployed(
      {.machines =
           {machine_of("sidecar-a-1", "khomas-a", "counter-desk", "v9", false),
            machine_of("sidecar-b-1", "khomas-b", "counter-desk", "v9", false),
            machine_of("sidecar-c-1", "khomas-c", "wallet-ledger", "v1", false),
            machine_of("sidecar-c-2", "khomas-c", "depot-ledger", "v1", false),
            machine_of("sidecar-c-3", "khomas-c", "wallet-ledger", "v1", false),
            machine_of("sidecar-c-4", "khomas-c", "depot-ledger", "v1", false),
            machine_of("sidecar-a-3", "khomas-a", "wallet-ledger", "v1", false),
            machine_of("sidecar-a-4", "khomas-a", "depot-ledger", "v1", false),
            machine_of("sidecar-b-3", "khomas-b", "wallet-ledger", "v1", false),
            machine_of("sidecar-b-4", "khomas-b", "depot-ledger", "v1", false),
            machine_of("sidecar-a-5", "khomas-a", "wallet-ledger", "v1", false),
            machine_of("sidecar-b-5", "khomas-b", "depot-ledger", "v1", false),
            machine_of("sidecar-a-2", "khomas-a", "counter-desk", "v10", true),
            machine_of("sidecar-b-2", "khomas-b", "counter-desk", "v10", true)},
       .configuration = MakeConfiguration(
           3, {kRoute}, {"counter-desk", "wallet-ledger", "depot-ledger"}, {})},
      &log);
  if (!deployed.Start()) return kCouldNotRun;
  deployed.Store().SetAnswerTime(kAnswerTime, kAnswerTime);
  const auto old_job = [&](const server_work& work) {
    seen.OnRun();
    std::this_thread::sleep_for(kWork);
    return ServerAnswer(work, kOk, "fine");
  };
  std::atomic<int> turn = 0;
  const auto new_job = [&](const server_work& work) {
    seen.OnRun();
    seen.OnNewVersionRun(work.request->Header("Request-Id"));
    std::this_thread::sleep_for(kWork);
    const bool fails = is_bad && ++turn % 2 == 0;
    if (!fails) return ServerAnswer(work, kOk, "fine");
    seen.OnBadAnswer();
    return ServerAnswer(work, kFailed, "");
  };
  std::vector<std::unique_ptr<backend_server>> servers;
  for (std::size_t i = 0; i < kFirstMachines; ++i) {
    servers.push_back(
        deployed.StartServer(i, "i-first" + std::to_string(i), old_job));
    if (!servers.back()) return kCouldNotRun;
  }
  if (!deployed.WaitForEntries(kFirstMachines)) return kCouldNotRun;
  std::vector<std::thread> clients;
  clients.reserve(kFirstMachines);
  for (std::size_t i = 0; i < kFirstMachines; ++i) {
    clients.emplace_back([&, i, to = deployed.At(i).Outbound()] {
      SendRequests(to, i, is_over, seen);
    });
  }
  std::this_thread::sleep_for(milliseconds(1000));

  const auto ordered = steady::now();
  deployed.Store().Write("rollouts", "counter-desk",
                         {{"service", "counter-desk"},
                          {"target_version", "v10"},
                          {"period", std::to_string(kPeriod.count()) + "ms"}});
  log.Write("the operator orders counter-desk to v10");
  for (std::size_t i = kFirstMachines; i < kMachines; ++i) {
    if (!deployed.StartProxy(i)) return kCouldNotRun;
  }
  std::this_thread::sleep_until(ordered + kNewServersAfter);
  for (std::size_t i = kFirstMachines; i < kMachines; ++i) {
    servers.push_back(
        deployed.StartServer(i, "i-new" + std::to_string(i), new_job));
    if (!servers.back()) return kCouldNotRun;
  }
  std::this_thread::sleep_until(ordered + kTroubleAfter);
  const auto trouble_at = steady::now();
  if (HasTrouble()) {
    log.Write("the store becomes slow");
    deployed.Store().SetAnswerTime(kSlowLeast, kSlowMost);
    for (std::size_t i = 0; i < kKilled; ++i) {
      deployed.KillProxy(kFirstKilled + i);
    }
    std::this_thread::sleep_for(kRestartTime);
    for (std::size_t i = 0; i < kKilled; ++i) {
      if (!deployed.StartProxy(kFirstKilled + i)) return kCouldNotRun;
    }
    std::this_thread::sleep_until(trouble_at + kSlowTime);
    deployed.Store().SetAnswerTime(kAnswerTime, kAnswerTime);
    log.Write("the store is as usual");
  }
  const auto stable_from = steady::now() + kStableWindow;
  std::this_thread::sleep_until(ordered + kBadAfter);
  is_bad = true;
  log.Write("v10 turns bad");

  bool is_rolled_back = false;
  while (!is_rolled_back && steady::now() < ordered + kPeriod) {
    const auto status = deployed.Store().Status("rollouts", "counter-desk");
    is_rolled_back =
        status.is_object() && status.value("state", "") == "rolled_back";
    std::this_thread::sleep_for(milliseconds(20));
  }
  log.Write(is_rolled_back ? "the outcome is rolled_back"
                           : "there is no outcome by the deadline");
  std::this_thread::sleep_for(kDrainsAfter);
  for (std::size_t i = kFirstMachines; i < kMachines; ++i) servers[i]->Drain();
  is_over = true;
  for (std::thread& each : clients) each.join();
  const bool is_broken = seen.IsBroken(trouble_at, stable_from, log);
  log.Write(is_broken ? "EXPOSURE is broken" : "EXPOSURE holds");
  std::cout << (is_broken ? "EXPOSURE is broken" : "EXPOSURE holds") << '\n';
  if (!deployed.AllRun()) return kCouldNotRun;
  return is_broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace fireflyspar::review

int main(int count, char** arguments) {
  if (count != 2) return fireflyspar::review::kCouldNotRun;
  return fireflyspar::review::Run(arguments[1]);
}
