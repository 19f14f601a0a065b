// A server leaves while the platform's store is down; then the proxy beside it
// is killed and started again, and a heartbeat from before the leave arrives.
#include <atomic>
#include <iostream>

#include "../standins-3/backend_server.h"
#include "../standins-3/mesh.h"
#include "../standins-3/store.h"

namespace review {
namespace {

constexpr int kMachines = 2;

// Bounds `drain` and `stable_window` of the settings.
constexpr double kDrainSeconds = 2.0;
constexpr double kStableWindowSeconds = 3.0;

// What a request may have waited since it was taken from its client.
constexpr double kLongestWaitSeconds = 1.0;

constexpr milliseconds kStaleBy{1000};
constexpr milliseconds kStartTimeout{15'000};
constexpr milliseconds kCalm{4000};
constexpr milliseconds kClientPause{10};
constexpr milliseconds kWork{60};
constexpr milliseconds kDeadline{1000};
constexpr int kClients = 4;

// Times from the store's outage on.
constexpr milliseconds kLeavesAfter{500};
constexpr milliseconds kRestartPause{500};
constexpr milliseconds kOutage{4500};
// From the end of the outage to the arrival of the late heartbeat.
constexpr milliseconds kHeldUp{2500};
constexpr milliseconds kServesOn{4000};

class forgotten_leave {
 public:
  forgotten_leave(const std::string& folder, record& log)
      : log_(log),
        mesh_(folder, std::vector<std::string>(kMachines, "fukuoka"), log),
        store_(mesh_.Store(), kStaleBy) {}

  int Run() {
    store_.Put(
        "config", "main",
        Configuration(
            10,
            {{.name = "order", .path_prefix = "/order/", .service = "supply"}},
            {"supply"}));
    for (std::size_t i = 0; i < kMachines; ++i) {
      mesh_.Machines()[i].service = "supply";
      mesh_.StartProxy(i);
    }
    const auto leaving = MakeServer(0);
    const auto other = MakeServer(1);
    if (!mesh_.AwaitReady(kStartTimeout)) return kCouldNotRun;
    std::this_thread::sleep_for(kCalm);
    const request late_heartbeat = leaving->ComposeHeartbeat();
    const auto begun = steady::now();
    store_.SetDown(HasTrouble());
    log_.Line("the store is down: " + std::to_string(int{HasTrouble()}));
    std::this_thread::sleep_for(kLeavesAfter);
    if (!leaving->Leave()) return kCouldNotRun;
    const double acknowledged = log_.Now();
    if (HasTrouble()) {
      mesh_.KillProxy(0);
      std::this_thread::sleep_for(kRestartPause);
      mesh_.StartProxy(0);
    }
    std::this_thread::sleep_until(begun + kOutage);
    store_.SetDown(false);
    const double is_back = log_.Now();
    log_.Line("the store is up");
    std::this_thread::sleep_for(kHeldUp);
    leaving->Deliver(late_heartbeat);
    SendOrders();
    int late_runs = 0;
    for (const server_run& each : leaving->Runs()) {
      const double late = each.at - acknowledged;
      const bool is_in_touch =
          each.at > is_back + kStableWindowSeconds + kLongestWaitSeconds;
      if (late <= kDrainSeconds || !is_in_touch) continue;
      ++late_runs;
      log_.Line("DRAIN broken: " + each.request_id + " reached the server " +
                std::to_string(late) + " s after the acknowledgement");
    }
    return late_runs > 0 ? kBroken : kHeld;
  }

 private:
  std::unique_ptr<backend_server> MakeServer(std::size_t index) {
    const machine& at = mesh_.Machines()[index];
    return std::make_unique<backend_server>(
        server_options{.at = at.app,
                       .control = at.control,
                       .id = "i-" + std::to_string(index + 1),
                       .service = at.service,
                       .zone = at.zone,
                       .born_ms = UnixMs(),
                       .work = kWork,
                       .log = &log_});
  }

  void SendOrders() {
    const auto until = steady::now() + kServesOn;
    std::vector<std::thread> clients;
    clients.reserve(kClients);
    for (int i = 0; i < kClients; ++i) {
      clients.emplace_back([this, i, until] {
        for (int number = 0; steady::now() < until; ++number) {
          const std::string id =
              "order-" + std::to_string(i) + "-" + std::to_string(number);
          Ask(log_, mesh_.Machines()[static_cast<std::size_t>(i % kMachines)],
              ClientRequest(id, "POST", "/order/1", kDeadline));
          std::this_thread::sleep_for(kClientPause);
        }
      });
    }
    for (std::thread& each : clients) each.join();
  }

  record& log_;
  mesh mesh_;
  store store_;
};

int Play(const std::string& folder, const std::string& record_path) {
  record log(record_path);
  try {
    forgotten_leave played(folder, log);
    const int result = played.Run();
    log.Line(result == kHeld ? "held"
                             : (result == kBroken ? "broken" : "not run"));
    return result;
  } catch (const std::exception& thrown) {
    log.Line(std::string("not run: ") + thrown.what());
    return kCouldNotRun;
  }
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: scenario FOLDER RECORD\n";
    return review::kCouldNotRun;
  }
  return review::Play(argv[1], argv[2]);
}
