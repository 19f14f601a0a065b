// Clients send orders, which must not run twice. The server of an order makes a
// call of its own before it ends it. Some clients leave before their deadline;
// the server goes on with their orders. Counts the calls that are denied.
#include <algorithm>
#include <atomic>
#include <deque>
#include <iostream>

#include "../standins-2/deployment.h"

namespace fireflyspar::review {
namespace {

constexpr int kOrders = 100;

// Of all clients, as in the site file.
constexpr double kLeavingShare = 0.2;

constexpr milliseconds kDeadline{1500};
constexpr milliseconds kLeavesAfter{150};
constexpr milliseconds kWorkBeforeCall{300};
constexpr milliseconds kWorkAfterCall{50};
constexpr milliseconds kBetweenOrders{50};

constexpr int kOk = 200;
constexpr int kFailed = 500;

// The rule: more than this many, and one in 500 of all requests.
constexpr int kDeniedLimit = 5;
constexpr int kDeniedDivisor = 500;

const route_options kOrderRoute{.name = "r-orders",
                                .host = "orders.example",
                                .path_prefix = "/orders/",
                                .kind = "unsafe",
                                .service = "subs-ledger",
                                .timeout = "1500ms"};
const route_options kCheckRoute{.name = "r-check",
                                .host = "check.example",
                                .path_prefix = "/clues/",
                                .service = "clue-vault",
                                .timeout = "1500ms"};

// Counts what clients and servers were answered.
struct counters {
  std::atomic<int> requests = 0;
  std::atomic<int> denied = 0;
  std::atomic<int> failed_orders = 0;
  std::atomic<int> served = 0;

  void Count(const std::optional<http_message>& answer) {
    ++requests;
    if (!answer) return;
    const int status = answer->status;
    const bool is_of_server = !answer->Header("Response-Stamp").empty();
    const bool promises_not_run =
        status == 408 || status == 421 || status == 429;
    const bool is_denial = status >= 300 && status < 500;
    if (is_denial && !is_of_server && !promises_not_run) ++denied;
  }
};

// The work of the server of orders.
http_message RunOrder(const server_work& work, counters& counted, record& log) {
  std::this_thread::sleep_for(kWorkBeforeCall);
  const std::string id = work.request->Header("Request-Id") + ".1";
  const milliseconds left = work.left - kWorkBeforeCall;
  const auto answer =
      Call(work.outbound,
           {.method = "GET",
            .target = "/clues/1",
            .headers = {{"Host", kCheckRoute.host},
                        {"Request-Id", id},
                        {"Deadline-Ms", std::to_string(left.count())}}},
           left);
  counted.Count(answer);
  log.Write("call " + id + " of the server is answered " + StatusText(answer));
  std::this_thread::sleep_for(kWorkAfterCall);
  if (IsServed(answer)) return ServerAnswer(work, kOk, "ordered");
  ++counted.failed_orders;
  return ServerAnswer(work, kFailed, "");
}

// One client, which sends one order and may leave early.
void SendOrder(const endpoint& to, const std::string& key, bool leaves,
               counters& counted, record& log) {
  http_message order =
      MakeRequest(kOrderRoute, "/orders/new", "POST", kDeadline);
  order.headers.emplace_back("Authorization", "Bearer " + key);
  order.body = "one subscription";
  const std::string id = order.Header("Request-Id");
  log.Write("client sends order " + id);
  const auto opened = http_connection::Open(to, kDeadline);
  if (!opened || !opened->Write(order.Encode())) {
    log.Write("order " + id + " could not be sent");
    return;
  }
  if (leaves) {
    std::this_thread::sleep_for(kLeavesAfter);
    ++counted.requests;
    log.Write("the client of order " + id + " leaves");
    return;
  }
  const auto answer = opened->Read(steady::now() + kDeadline);
  counted.Count(answer);
  if (IsServed(answer)) ++counted.served;
  log.Write("order " + id + " is answered " + StatusText(answer));
}

int Run(const std::string& folder) {
  record log(folder);
  counters counted;
  const tenant_options household{.name = "household", .key = "k3yofhousehold"};
  deployment deployed(
      {.machines = {{.name = "sidecar-a-1",
                     .zone = "lakes-a",
                     .service = "subs-ledger",
                     .slots = 12},
                    {.name = "sidecar-b-1",
                     .zone = "lakes-b",
                     .service = "clue-vault",
                     .slots = 12},
                    {.name = "sidecar-c-1",
                     .zone = "lakes-c",
                     .service = "grid-desk",
                     .slots = 12}},
       .configuration = MakeConfiguration(
           3, {kOrderRoute, kCheckRoute},
           {"subs-ledger", "clue-vault", "grid-desk"}, {household})},
      &log);
  if (!deployed.Start()) return kCouldNotRun;
  const auto well = [](const server_work& work) {
    return ServerAnswer(work, kOk, "fine");
  };
  const auto ledger = deployed.StartServer(
      0, "i-ledger1",
      [&](const server_work& work) { return RunOrder(work, counted, log); });
  const auto vault = deployed.StartServer(1, "i-vault1", well);
  const auto desk = deployed.StartServer(2, "i-desk1", well);
  if (!ledger || !vault || !desk) return kCouldNotRun;
  if (!deployed.WaitForEntries(3)) return kCouldNotRun;
  std::deque<std::thread> clients;
  double leaving = 0;
  for (int i = 0; i < kOrders; ++i) {
    if (HasTrouble()) leaving += kLeavingShare;
    const bool leaves = leaving >= 1;
    if (leaves) leaving -= 1;
    clients.emplace_back([&, leaves] {
      SendOrder(deployed.At(2).Outbound(), household.key, leaves, counted, log);
    });
    std::this_thread::sleep_for(kBetweenOrders);
  }
  for (std::thread& each : clients) each.join();
  std::this_thread::sleep_for(kDeadline);
  const double limit =
      kDeniedLimit + static_cast<double>(counted.requests) / kDeniedDivisor;
  const bool is_broken = counted.denied > limit;
  log.Write("orders and calls: " + std::to_string(counted.requests) +
            ", orders served: " + std::to_string(counted.served) +
            ", denied with 3xx or 4xx: " + std::to_string(counted.denied) +
            ", allowed: " + std::to_string(limit) +
            ", orders that failed for want of the call: " +
            std::to_string(counted.failed_orders));
  log.Write(is_broken ? "DENIED is broken" : "DENIED holds");
  std::cout << "denied " << counted.denied << " of " << counted.requests
            << ", allowed " << limit << '\n';
  if (counted.served == 0 || !deployed.AllRun()) return kCouldNotRun;
  return is_broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace fireflyspar::review

int main(int count, char** arguments) {
  if (count != 2) return fireflyspar::review::kCouldNotRun;
  return fireflyspar::review::Run(arguments[1]);
}
