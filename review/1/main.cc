// Orders that may not be repeated go to the only server of a service. For some
// seconds at a time the server refuses part of its requests as not executed
// although it is healthy, and sends a late second copy of a few answers. No
// order that was answered 503 may have run.
#include <atomic>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <thread>
#include <utility>

#include "../standins/deployment.h"

namespace fireflyspar::review {
namespace {

using nlohmann::json;

constexpr double kTroubleFromS = 3;
constexpr double kTrafficS = 96;
// Both disruptions come again and again.
constexpr double kPeriodS = 9;
constexpr double kRefusingS = 8.5;
constexpr double kCopyingS = 5.5;
constexpr double kRefusedShare = 0.55;
constexpr double kCopiedShare = 0.05;
constexpr milliseconds kCopyDelay{95};
constexpr int kFirst = 8;

// Of the time that an order takes at the server, as in the customer's sheet.
constexpr double kMeanWorkMs = 84;
constexpr double kWorkSpread = 0.5;
constexpr int kMaxWorkMs = 500;

constexpr int kOrdersAtOnce = 14;
constexpr milliseconds kPause{420};
constexpr milliseconds kDeadline{1000};

// What the disturbed server does, decided anew for each request and answer.
class disturbance {
 public:
  explicit disturbance(const record& log) : log_(log) {}

  // No request is refused twice.
  bool Refuses(const std::string& id) {
    const std::scoped_lock lock(mutex_);
    const bool refuses = IsWithin(kRefusingS) && !refused_.contains(id) &&
                         unit_(random_) < kRefusedShare;
    if (refuses) refused_.insert(id);
    return refuses;
  }

  // Copies are made of the first refusals after an idle moment, and of no more
  // than the share of the answers in each time of the disruption.
  milliseconds CopyDelay(int status, int position) {
    const std::scoped_lock lock(mutex_);
    if (!IsWithin(kCopyingS)) return milliseconds(0);
    const int period = PeriodNow();
    if (std::exchange(period_, period) != period) {
      answers_of_period_ = 0;
      copies_of_period_ = 0;
    }
    ++answers_;
    ++answers_of_period_;
    const bool has_room =
        copies_of_period_ + 1 <= kCopiedShare * answers_of_period_;
    if (status != 503 || position > kFirst || !has_room) return milliseconds(0);
    ++copies_;
    ++copies_of_period_;
    return kCopyDelay;
  }

  int Copies() const { return copies_; }
  int Answers() const { return answers_; }

 private:
  bool IsWithin(double length_s) const {
    const double since = log_.Now() - kTroubleFromS;
    const double in_period =
        since - kPeriodS * static_cast<int>(since / kPeriodS);
    return HasTrouble() && since >= 0 && in_period < length_s;
  }

  int PeriodNow() const {
    return static_cast<int>((log_.Now() - kTroubleFromS) / kPeriodS);
  }

  const record& log_;
  std::mutex mutex_;
  std::mt19937 random_{std::random_device{}()};
  std::uniform_real_distribution<double> unit_{0, 1};
  std::set<std::string> refused_;
  int answers_ = 0;
  int copies_ = 0;
  int period_ = -1;
  int answers_of_period_ = 0;
  int copies_of_period_ = 0;
};

milliseconds WorkOf(const std::string&) {
  static std::mutex mutex;
  static std::mt19937 random(std::random_device{}());
  static std::lognormal_distribution<double> factor(
      -kWorkSpread * kWorkSpread / 2, kWorkSpread);
  const std::scoped_lock lock(mutex);
  const auto taken = static_cast<int>(kMeanWorkMs * factor(random));
  return milliseconds(std::min(taken, kMaxWorkMs));
}

json Configuration() {
  return {
      {"version", "r7"},
      {"routes",
       Table({"name", "host", "path_prefix", "kind", "timeout", "slo",
              "priority", "service", "attempts", "traffic_split"},
             {json::array({"r-order", "orders.example", "/orders/", "unsafe",
                           "1000ms", "250ms", 0, "supply", 2, nullptr})})},
      {"services",
       Table({"name", "health_path", "max_conns", "protocol", "tls"},
             {json::array({"supply", "/healthz", 120, "h1", false}),
              json::array({"inspect", "/healthz", 120, "h1", false}),
              json::array({"ledger", "/healthz", 120, "h1", false})})},
      {"limits",
       {{"header_bytes", 16384},
        {"body_bytes", 67108864},
        {"header_timeout", "3000ms"},
        {"idle_timeout", "15000ms"}}}};
}

// Sends an order, and once more if the answer says that it has not run.
void Order(deployment& fleet, const machine& from, int number) {
  caller_request request{.id = "order-" + std::to_string(number),
                         .host = "orders.example",
                         .path = "/orders/cylinder",
                         .body = std::string(300, 'x'),
                         .key = "",
                         .deadline = kDeadline};
  const auto until = steady::now() + kDeadline;
  connection_ptr fresh;
  const caller_answer first = fleet.Send(from, request, fresh);
  const auto left =
      std::chrono::duration_cast<milliseconds>(until - steady::now());
  const milliseconds pause = std::min(first.retry_after, left / 3);
  if (first.status != 503 || left - pause < milliseconds(100)) return;
  std::this_thread::sleep_for(pause);
  request.id += "-again";
  request.deadline = left - pause;
  fresh = nullptr;
  fleet.Send(from, request, fresh);
}

bool IsPromiseNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool Check(record& log) {
  std::map<std::string, int> runs;
  std::map<std::string, int> answers;
  for (const fact& each : log.Facts()) {
    if (each.kind == fact_kind::kRun) ++runs[each.request_id];
    if (each.kind == fact_kind::kAnswered) {
      answers[each.request_id] = each.status;
    }
  }
  std::map<int, int> by_status;
  for (const auto& [id, status] : answers) ++by_status[status];
  for (const auto& [status, count] : by_status) {
    std::cout << "answered " << status << ": " << count << '\n';
  }
  int broken = 0;
  for (const auto& [id, count] : runs) {
    if (count > 1) {
      ++broken;
      std::cout << "TWICE: " << id << " ran " << count << " times\n";
    }
    const auto answered = answers.find(id);
    if (answered != answers.end() && IsPromiseNotRun(answered->second)) {
      ++broken;
      const bool doubled = runs.contains(id + "-again");
      std::cout << "REFUSED: " << id << " was answered " << answered->second
                << " and ran"
                << (doubled ? "; the caller's next attempt ran too" : "")
                << '\n';
    }
  }
  std::cout << "orders that ran: " << runs.size() << ", broken: " << broken
            << '\n';
  return broken == 0;
}

bool Run() {
  static record log("review/1/record.txt");
  static disturbance disturbed(log);
  static deployment fleet(log, "");
  fleet.Store().Put("config", "main", Configuration());
  const std::vector<std::string> zones = {"zone-a", "zone-b", "zone-c"};
  const std::vector<std::string> services = {"supply",  "ledger", "inspect",
                                             "ledger",  "ledger", "inspect",
                                             "inspect", "ledger"};
  for (std::size_t i = 0; i < services.size(); ++i) {
    server_options server;
    if (services[i] == "supply") {
      server.work_of = WorkOf;
      server.refuses = [](const std::string& id) {
        return disturbed.Refuses(id);
      };
      server.copy_delay = [](int status, int position) {
        return disturbed.CopyDelay(status, position);
      };
    }
    fleet.Add("side-" + std::to_string(i + 1), zones[i % zones.size()],
              services[i], true, server);
  }
  fleet.AwaitReady(milliseconds(8000));
  std::this_thread::sleep_for(milliseconds(4000));
  std::mt19937 random(1);
  std::vector<std::thread> callers;
  int number = 0;
  const double end = log.Now() + kTrafficS;
  while (log.Now() < end) {
    for (int i = 0; i < kOrdersAtOnce; ++i) {
      const machine& from = fleet.Machines()[random() % services.size()];
      callers.emplace_back(Order, std::ref(fleet), std::cref(from), ++number);
    }
    std::this_thread::sleep_for(kPause);
  }
  for (std::thread& each : callers) each.join();
  std::this_thread::sleep_for(milliseconds(500));
  fleet.Stop();
  std::cout << "second copies sent: " << disturbed.Copies() << " of "
            << disturbed.Answers() << " answers while copying\n";
  return Check(log);
}

}  // namespace
}  // namespace fireflyspar::review

int main() { fireflyspar::review::RunCase(fireflyspar::review::Run); }
