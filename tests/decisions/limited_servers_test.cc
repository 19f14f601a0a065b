// The load: two of a service's five servers name a limit of about half of what
// they get, while the other three have room for the rest.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decisions/gate_choice.h"
#include "decisions/ranked_admission.h"

namespace fireflyspar::decisions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::steady_instant kStart{std::chrono::hours(1)};
constexpr milliseconds kTypical{220};
constexpr int kSlots = 18;
constexpr int kRouters = 11;
constexpr int kMaxFullGates = 5;
constexpr double kRequestsPerSecond = 230;

struct simulated_gate {
  std::string name;
  std::optional<double> limit;
  ranked_admission admission;
};

struct simulated_request {
  std::size_t router = 0;
  std::size_t gate = 0;
  base::steady_instant begun;
  int full_gates = 0;
};

// Requests that routers offer to gates, in steps of a millisecond and without
// time on the way.
class simulation {
 public:
  simulation() {
    for (simulated_gate& each : gates_) {
      each.admission.Open(kSlots);
      each.admission.SetLimit(each.limit, kStart);
      candidates_.push_back({.instance = each.name, .slots = kSlots});
    }
  }

  void Run(seconds span) {
    for (; now_ < kStart + span; now_ += milliseconds(1)) {
      EndRequests();
      for (std::size_t at = 0; at < gates_.size(); ++at) ProcessQueue(at);
      const double due = kRequestsPerSecond / 1000;
      if (base::ToUnitInterval(random_()) < due) {
        Offer(++last_ticket_, {.router = random_() % kRouters, .begun = now_});
      }
    }
  }

  double RefusedShare() const {
    return static_cast<double>(refused_) / static_cast<double>(last_ticket_);
  }

 private:
  void Offer(std::uint64_t ticket, simulated_request request) {
    gate_choice& choice = choices_[request.router];
    while (request.full_gates < kMaxFullGates) {
      const auto chosen = choice.Choose(
          candidates_, {.typical_duration = kTypical}, random_, now_);
      request.gate = chosen->index;
      simulated_gate& gate = gates_[request.gate];
      choice.OnSend(gate.name);
      const milliseconds wait_limit =
          request.full_gates == 0 ? kTypical * 3 / 10 : milliseconds(1500);
      const admission_result entered =
          gate.admission.Enter({.ticket = ticket,
                                .typical_duration = kTypical,
                                .wait_limit = wait_limit,
                                .objective = request.begun + milliseconds(600),
                                .deadline = request.begun + milliseconds(1500)},
                               now_);
      if (entered.choice == admission_choice::kRun) Begin(request);
      if (entered.choice == admission_choice::kWait) waiting_[ticket] = request;
      if (entered.choice != admission_choice::kRefuse) return;
      Report(request);
      ++request.full_gates;
    }
    ++refused_;
  }

  void Begin(const simulated_request& request) {
    const double spread = 0.5 + base::ToUnitInterval(random_());
    const auto took = std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(kTypical) * spread);
    running_.emplace(now_ + took, std::pair(took, request));
  }

  void EndRequests() {
    while (!running_.empty() && running_.begin()->first <= now_) {
      const auto [took, request] = running_.begin()->second;
      running_.erase(running_.begin());
      gates_[request.gate].admission.Leave(took);
      Report(request);
    }
  }

  void ProcessQueue(std::size_t at) {
    for (const auto& [ticket, result] :
         gates_[at].admission.ProcessQueue(now_)) {
      simulated_request request = waiting_.extract(ticket).mapped();
      if (result.choice == admission_choice::kRun) {
        Begin(request);
        continue;
      }
      Report(request);
      ++request.full_gates;
      Offer(ticket, request);
    }
  }

  void Report(const simulated_request& request) {
    const simulated_gate& gate = gates_[request.gate];
    choices_[request.router].OnEnd(gate.name);
    choices_[request.router].OnReport(
        gate.name,
        {.running = gate.admission.Running(),
         .waiting = gate.admission.Waiting(),
         .slots = kSlots,
         .requests_per_second = gate.limit.value_or(0)},
        now_);
  }

  base::steady_instant now_ = kStart;
  base::random_hook random_ = base::SeededRandom(7);
  std::array<simulated_gate, 5> gates_{
      simulated_gate{.name = "a", .limit = 20.4},
      simulated_gate{.name = "b", .limit = 26.1}, simulated_gate{.name = "c"},
      simulated_gate{.name = "d"}, simulated_gate{.name = "e"}};
  std::vector<gate_candidate> candidates_;
  std::array<gate_choice, kRouters> choices_;
  std::map<std::uint64_t, simulated_request> waiting_;  // By ticket.
  std::multimap<base::steady_instant,
                std::pair<base::duration, simulated_request>>
      running_;  // By end.
  std::uint64_t last_ticket_ = 0;
  int refused_ = 0;
};

// Guards against refusals while three servers have room, as when routers take a
// gate that has used up its turns for a free one.
TEST_CASE("a service with room refuses nearly nothing beside limited servers") {
  simulation tested;
  tested.Run(seconds(60));
  CHECK(tested.RefusedShare() < 0.005);
}

}  // namespace
}  // namespace fireflyspar::decisions
