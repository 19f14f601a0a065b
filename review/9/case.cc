// The only server of a service crashes and starts again under a new id, while
// clients go on. Requests that were sent to the new start before its first
// heartbeat name the old id; the answers that refuse them come after that
// heartbeat, since a server that has just started is slow. Compares how often
// the routes are served after that.
#include <atomic>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

#include "../standins-2/deployment.h"

namespace fireflyspar::review {
namespace {

constexpr int kRequests = 30;
constexpr milliseconds kDeadline{1000};
constexpr milliseconds kBetween{50};

// `config` and a margin, after which the added route must be in force.
constexpr milliseconds kInForceAfter{4000};

// How long the server is down.
constexpr milliseconds kDownTime{1500};

// A server that has just started takes this long before it looks at a request.
constexpr milliseconds kColdTime{100};

// From the time at which the new start listens to its first heartbeat.
constexpr milliseconds kFirstBeat{40};

// Between two requests of the clients around the crash.
constexpr milliseconds kBetweenClients{10};

// `stable_window` and a margin.
constexpr milliseconds kSettleTime{4000};

constexpr int kOk = 200;

// The rule: less than this share of the first routes' share.
constexpr double kLeastShare = 0.25;

const route_options kFirstRoute{.name = "r-sites",
                                .host = "sites.example",
                                .path_prefix = "/sites/",
                                .service = "ledger"};
const route_options kAddedRoute{.name = "r-stock",
                                .host = "stock.example",
                                .path_prefix = "/stock/",
                                .service = "supply"};

struct served_counts {
  int first = 0;
  int added = 0;
};

bool Ask(const endpoint& to, const route_options& route, record& log) {
  const http_message request =
      MakeRequest(route, route.path_prefix + "1", "GET", kDeadline);
  const auto answer = Call(to, request, kDeadline + milliseconds(500));
  log.Write("request " + request.Header("Request-Id") + " on " + route.name +
            " is answered " + StatusText(answer) +
            (answer && !IsServed(answer) ? " " + answer->body : ""));
  return IsServed(answer);
}

served_counts AskAll(const endpoint& to, record& log) {
  served_counts counts;
  for (int i = 0; i < kRequests; ++i) {
    if (Ask(to, kFirstRoute, log)) ++counts.first;
    if (Ask(to, kAddedRoute, log)) ++counts.added;
    std::this_thread::sleep_for(kBetween);
  }
  log.Write("served of " + std::to_string(kRequests) + ": " +
            std::to_string(counts.first) + " on the first route, " +
            std::to_string(counts.added) + " on the added one");
  return counts;
}

// Clients send requests without waiting for answers.
void SendUntil(const std::atomic<bool>& is_over, const endpoint& to,
               record& log) {
  std::vector<std::thread> clients;
  while (!is_over) {
    clients.emplace_back([&] { Ask(to, kAddedRoute, log); });
    std::this_thread::sleep_for(kBetweenClients);
  }
  for (std::thread& each : clients) each.join();
}

int Run(const std::string& folder) {
  record log(folder);
  const std::vector<std::string> services = {"ledger", "supply", "inspect"};
  deployment deployed(
      {.machines = {{.name = "sidecar-f-1",
                     .zone = "fukuoka",
                     .service = "ledger",
                     .slots = 6},
                    {.name = "sidecar-k-1",
                     .zone = "kumamoto",
                     .service = "supply",
                     .slots = 6},
                    {.name = "sidecar-g-1",
                     .zone = "kagoshima",
                     .service = "inspect",
                     .slots = 6}},
       .configuration = MakeConfiguration(3, {kFirstRoute}, services, {})},
      &log);
  if (!deployed.Start()) return kCouldNotRun;
  const auto well = [](const server_work& work) {
    std::this_thread::sleep_for(milliseconds(20));
    return ServerAnswer(work, kOk, "fine");
  };
  const auto ledger = deployed.StartServer(0, "i-ledger1", well);
  const auto supply = deployed.StartServer(1, "i-supply1", well);
  const auto inspect = deployed.StartServer(2, "i-inspect1", well);
  if (!ledger || !supply || !inspect) return kCouldNotRun;
  if (!deployed.WaitForEntries(3)) return kCouldNotRun;
  deployed.Configure(
      MakeConfiguration(5, {kFirstRoute, kAddedRoute}, services, {}));
  std::this_thread::sleep_for(kInForceAfter);
  const endpoint to = deployed.At(2).Outbound();
  log.Write("before the crash");
  const served_counts before = AskAll(to, log);

  std::unique_ptr<backend_server> restarted;
  if (HasTrouble()) {
    std::atomic<bool> is_over = false;
    std::thread clients([&] { SendUntil(is_over, to, log); });
    supply->End();
    std::this_thread::sleep_for(kDownTime);
    restarted = deployed.StartServer(
        1, "i-supply2", well,
        {.first_beat = kFirstBeat, .cold_time = kColdTime});
    std::this_thread::sleep_for(kFirstBeat + kDownTime);
    is_over = true;
    clients.join();
    if (!restarted || !restarted->AcknowledgedAt()) return kCouldNotRun;
  }
  std::this_thread::sleep_for(kSettleTime);
  log.Write("after the crash");
  const served_counts after = AskAll(to, log);
  const bool is_broken = after.added < kLeastShare * after.first;
  log.Write(is_broken ? "CONFIG is broken" : "CONFIG holds");
  std::cout << "before: first route " << before.first << ", added route "
            << before.added << "; after: first route " << after.first
            << ", added route " << after.added << " of " << kRequests << '\n';
  const bool was_sound = before.first > 0 && before.added > 0;
  if (!was_sound || after.first == 0 || !deployed.AllRun()) return kCouldNotRun;
  return is_broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace fireflyspar::review

int main(int count, char** arguments) {
  if (count != 2) return fireflyspar::review::kCouldNotRun;
  return fireflyspar::review::Run(arguments[1]);
}
