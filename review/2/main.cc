// A proxy gets SIGTERM while its callers' requests wait at the gate of a busy
// server, behind more urgent ones. Each request has more time left than the
// proxy has to end. None may end without an answer before its deadline.
#include <csignal>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <thread>

#include "../standins/deployment.h"

namespace fireflyspar::review {
namespace {

using nlohmann::json;

// As in the customer's sheet: builds and their files at one service.
constexpr milliseconds kStatusWork{340};
constexpr milliseconds kStatusDeadline{5000};
constexpr milliseconds kFileWork{540};
constexpr milliseconds kFileDeadline{8000};
constexpr int kSlots = 12;

// A little more than the server can do.
constexpr double kStatusPerSecond = 42;
constexpr milliseconds kStatusLoad{22'000};
constexpr milliseconds kBeforeFiles{8000};

constexpr int kFiles = 12;
constexpr milliseconds kFilePause{80};

// Of the rules.
constexpr double kGraceS = 6;
constexpr double kLossSlackS = 0.2;

constexpr std::size_t kEndingMachine = 1;

json Configuration() {
  return {
      {"version", "r7"},
      {"routes",
       Table(
           {"name", "host", "path_prefix", "kind", "timeout", "slo", "priority",
            "service", "attempts", "traffic_split"},
           {json::array({"r-status", "jobs.example", "/status/", "safe",
                         "5000ms", "1200ms", 1, "job-tracking", 2, nullptr}),
            json::array({"r-file", "jobs.example", "/files/", "safe", "8000ms",
                         "2000ms", 2, "job-tracking", 2, nullptr})})},
      {"services",
       Table({"name", "health_path", "max_conns", "protocol", "tls"},
             {json::array({"job-tracking", "/healthz", 430, "h1", false}),
              json::array({"quoting", "/healthz", 430, "h1", false})})},
      {"limits",
       {{"header_bytes", 16384},
        {"body_bytes", 67108864},
        {"header_timeout", "3000ms"},
        {"idle_timeout", "15000ms"}}}};
}

void Get(deployment& fleet, const machine& from, const std::string& id,
         const std::string& path, milliseconds deadline) {
  connection_ptr fresh;
  fleet.Send(from,
             {.id = id,
              .method = "GET",
              .host = "jobs.example",
              .path = path,
              .body = "",
              .key = "",
              .deadline = deadline},
             fresh);
}

// Asks for the status of builds from all machines but the one that ends.
void LoadWithStatus(deployment& fleet) {
  std::vector<std::thread> callers;
  std::mt19937 random(1);
  std::exponential_distribution<double> pause(kStatusPerSecond);
  const auto end = steady::now() + kStatusLoad;
  for (int number = 0; steady::now() < end; ++number) {
    std::size_t index = random() % fleet.Machines().size();
    if (index == kEndingMachine) index = 0;
    const machine& from = fleet.Machines()[index];
    callers.emplace_back(Get, std::ref(fleet), std::cref(from),
                         "status-" + std::to_string(number), "/status/1",
                         kStatusDeadline);
    std::this_thread::sleep_for(std::chrono::duration<double>(pause(random)));
  }
  for (std::thread& each : callers) each.join();
}

bool Check(record& log, double signalled_at) {
  std::map<std::string, double> sent;
  std::set<std::string> at_work;
  std::map<int, int> by_status;
  int broken = 0;
  int files = 0;
  for (const fact& each : log.Facts()) {
    if (each.kind == fact_kind::kSent) sent[each.request_id] = each.at_s;
    if (each.kind == fact_kind::kRun) at_work.insert(each.request_id);
    if (each.kind != fact_kind::kAnswered) continue;
    if (!each.request_id.starts_with("file-")) {
      ++by_status[each.status];
      continue;
    }
    ++files;
    const double took = each.at_s - sent[each.request_id];
    std::cout << each.request_id << ": " << each.status << " after " << took
              << " s" << (at_work.contains(each.request_id) ? ", ran" : "")
              << '\n';
    const double deadline_s =
        std::chrono::duration<double>(kFileDeadline).count();
    const bool is_lost = each.status == 0 && took > kLossSlackS &&
                         took < deadline_s - 0.01 &&
                         !at_work.contains(each.request_id);
    if (is_lost) ++broken;
  }
  for (const auto& [status, count] : by_status) {
    std::cout << "status requests answered " << status << ": " << count << '\n';
  }
  std::cout << (broken > 0 ? "LOST: " : "kept: ") << broken << " of " << files
            << " requests ended without an answer before their deadline; "
               "SIGTERM at "
            << signalled_at << " s\n";
  return broken == 0;
}

bool Run() {
  static record log("review/2/record.txt");
  static deployment fleet(log, "");
  fleet.Store().Put("config", "main", Configuration());
  const std::vector<std::string> zones = {"zone-a", "zone-b", "zone-c"};
  constexpr int kMachines = 6;
  for (int i = 0; i < kMachines; ++i) {
    server_options server;
    server.slots = kSlots;
    server.queue = 48;
    server.work_of = [](const std::string& id) {
      return id.starts_with("file-") ? kFileWork : kStatusWork;
    };
    fleet.Add("side-" + std::to_string(i + 1),
              zones[static_cast<std::size_t>(i) % zones.size()],
              i == 0 ? "job-tracking" : "quoting", true, server);
  }
  fleet.AwaitReady(milliseconds(8000));
  std::this_thread::sleep_for(milliseconds(4000));
  std::thread load([] { LoadWithStatus(fleet); });
  std::this_thread::sleep_for(kBeforeFiles);
  std::vector<std::thread> callers;
  for (int i = 0; i < kFiles; ++i) {
    callers.emplace_back(
        Get, std::ref(fleet), std::cref(fleet.Machines()[kEndingMachine]),
        "file-" + std::to_string(i), "/files/1", kFileDeadline);
    std::this_thread::sleep_for(kFilePause);
  }
  const double signalled_at = log.Now();
  if (HasTrouble()) {
    log.Note("side-2 gets SIGTERM");
    fleet.Signal(kEndingMachine, SIGTERM);
    std::this_thread::sleep_for(std::chrono::duration<double>(kGraceS));
    fleet.Signal(kEndingMachine, SIGKILL);
    log.Note("the grace time of side-2 is over");
  }
  for (std::thread& each : callers) each.join();
  load.join();
  fleet.Stop();
  return Check(log, signalled_at);
}

}  // namespace
}  // namespace fireflyspar::review

int main() { fireflyspar::review::RunCase(fireflyspar::review::Run); }
