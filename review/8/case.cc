// A server leaves, and the proxy beside it, which has acknowledged that, is
// stopped and started again in a planned way. A heartbeat of the server from
// before its leaving arrives late, at the new process. Looks for requests that
// reach the server long after the acknowledgement.
#include <iostream>

#include "../standins-2/deployment.h"

namespace fireflyspar::review {
namespace {

constexpr milliseconds kDeadline{1000};
constexpr milliseconds kBetween{40};
constexpr milliseconds kWork{60};
constexpr int kClientCount = 4;

// From the heartbeat that is held up to the leaving, and from there to the
// SIGTERM.
constexpr milliseconds kBeforeLeaving{200};
constexpr milliseconds kBeforeStop{200};

// From the end of the process to its start.
constexpr milliseconds kRestartTime{100};

// From the new process being ready to the late heartbeat.
constexpr milliseconds kHeldUpFurther{300};

// How long the server serves after its leaving was acknowledged: `drain` "and a
// little longer (at times many seconds)".
constexpr milliseconds kServesFor{9000};

constexpr milliseconds kDrain{2000};

// `stable_window` and a margin: machines are in touch this long after a start.
constexpr milliseconds kInTouchAfter{3200};

constexpr int kOk = 200;

constexpr std::size_t kLeaving = 1;
constexpr std::size_t kClients = 3;

const route_options kRoute{.name = "r-stock",
                           .host = "stock.example",
                           .path_prefix = "/stock/",
                           .service = "supply"};

// The requests that the leaving server ran, and when they arrived.
struct arrivals {
  std::mutex mutex;  // Protects the member below.
  std::map<std::string, steady::time_point> by_id;
};

// When clients sent their requests.
struct sent_requests {
  std::mutex mutex;  // Protects the member below.
  std::map<std::string, steady::time_point> by_id;
};

bool WaitUntilReady(const machine& of) {
  constexpr milliseconds kLongest{5000};
  constexpr milliseconds kPause{20};
  const auto end = steady::now() + kLongest;
  while (steady::now() < end) {
    const auto answer =
        Call(of.Ready(), {.method = "GET", .target = "/ready"}, kDeadline);
    if (answer && answer->status == kOk) return true;
    std::this_thread::sleep_for(kPause);
  }
  return false;
}

// Sends requests, one after the other, until the flag is set.
void SendUntil(const std::atomic<bool>& has_ended, const endpoint& to,
               sent_requests& sent, record& log) {
  while (!has_ended) {
    const http_message request =
        MakeRequest(kRoute, kRoute.path_prefix + "1", "GET", kDeadline);
    const std::string id = request.Header("Request-Id");
    {
      const std::lock_guard lock(sent.mutex);
      sent.by_id[id] = steady::now();
    }
    log.Write("client sends " + id);
    const auto answer = Call(to, request, kDeadline + kWork);
    log.Write("client has " + StatusText(answer) + " for " + id);
    std::this_thread::sleep_for(kBetween);
  }
}

int Run(const std::string& folder) {
  record log(folder);
  deployment deployed({.machines = {{.name = "sidecar-f-1",
                                     .zone = "fukuoka",
                                     .service = "ledger",
                                     .slots = 6},
                                    {.name = "sidecar-k-1",
                                     .zone = "kumamoto",
                                     .service = "supply",
                                     .slots = 6},
                                    {.name = "sidecar-k-2",
                                     .zone = "kumamoto",
                                     .service = "supply",
                                     .slots = 6},
                                    {.name = "sidecar-g-1",
                                     .zone = "kagoshima",
                                     .service = "inspect",
                                     .slots = 6}},
                       .configuration = MakeConfiguration(
                           3, {kRoute}, {"ledger", "supply", "inspect"}, {})},
                      &log);
  if (!deployed.Start()) return kCouldNotRun;
  const auto well = [](const server_work& work) {
    std::this_thread::sleep_for(kWork);
    return ServerAnswer(work, kOk, "fine");
  };
  arrivals arrived;
  const auto noted = [&arrived, &well](const server_work& work) {
    {
      const std::lock_guard lock(arrived.mutex);
      arrived.by_id[work.request->Header("Request-Id")] = steady::now();
    }
    return well(work);
  };
  const auto ledger = deployed.StartServer(0, "i-ledger1", well);
  const auto leaving = deployed.StartServer(kLeaving, "i-supply1", noted);
  const auto staying = deployed.StartServer(2, "i-supply2", well);
  const auto inspect = deployed.StartServer(kClients, "i-inspect1", well);
  if (!ledger || !leaving || !staying || !inspect) return kCouldNotRun;
  if (!deployed.WaitForEntries(4)) return kCouldNotRun;

  std::atomic<bool> has_ended = false;
  sent_requests sent;
  std::vector<std::thread> clients;
  clients.reserve(kClientCount);
  for (int i = 0; i < kClientCount; ++i) {
    clients.emplace_back([&] {
      SendUntil(has_ended, deployed.At(kClients).Outbound(), sent, log);
    });
  }
  std::this_thread::sleep_for(kDrain);

  const std::string late = leaving->MakeHeartbeat();
  const bool has_trouble = HasTrouble();
  if (has_trouble) {
    log.Write("a heartbeat of i-supply1 is sent, and held up");
  } else {
    leaving->SendHeartbeat(late);
  }
  leaving->StopReports();
  std::this_thread::sleep_for(kBeforeLeaving);
  const bool has_left = leaving->Leave();
  const auto left_at = steady::now();
  log.Write(std::string("i-supply1 says that it leaves: ") +
            (has_left ? "acknowledged" : "no answer"));
  std::this_thread::sleep_for(kBeforeStop);
  deployed.StopProxy(kLeaving);
  std::this_thread::sleep_for(kRestartTime);
  const bool has_started =
      deployed.StartProxy(kLeaving) && WaitUntilReady(deployed.At(kLeaving));
  const auto started_at = steady::now();
  std::this_thread::sleep_for(kHeldUpFurther);
  if (has_trouble) {
    const bool is_taken = leaving->SendHeartbeat(late);
    log.Write(std::string("the heartbeat that was held up arrives: ") +
              (is_taken ? "acknowledged" : "not acknowledged"));
  }
  std::this_thread::sleep_until(left_at + kServesFor);
  leaving->Leave();
  leaving->End();
  has_ended = true;
  for (std::thread& each : clients) each.join();

  int too_late = 0;
  for (const auto& [id, at] : arrived.by_id) {
    const auto sent_at = sent.by_id.find(id);
    if (sent_at == sent.by_id.end()) continue;
    const bool counts =
        at > left_at + kDrain && sent_at->second > started_at + kInTouchAfter;
    if (!counts) continue;
    ++too_late;
    const std::chrono::duration<double> since = at - left_at;
    log.Write("too late: " + id + " reached i-supply1 " +
              std::to_string(since.count()) + " s after the acknowledgement");
  }
  const bool is_broken = too_late > 0;
  log.Write(is_broken ? "DRAIN is broken" : "DRAIN holds");
  std::cout << too_late << " requests reached the server later than `drain` "
            << "after its leaving was acknowledged, by machines in touch; "
            << arrived.by_id.size() << " of " << sent.by_id.size()
            << " requests reached it in all\n";
  const bool was_sound = has_left && has_started && !arrived.by_id.empty();
  if (!was_sound || !deployed.AllRun()) return kCouldNotRun;
  return is_broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace fireflyspar::review

int main(int count, char** arguments) {
  if (count != 2) return fireflyspar::review::kCouldNotRun;
  return fireflyspar::review::Run(arguments[1]);
}
