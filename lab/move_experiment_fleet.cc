#include <algorithm>
#include <chrono>
#include <memory>
#include <queue>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "decisions/move_tracker.h"
#include "lab/move_experiment_service.h"
#include "lab/move_experiment_strategy.h"

namespace fireflyspar::lab {
namespace {

using decisions::move;
using std::chrono::milliseconds;

constexpr base::duration kTick = milliseconds(250);
constexpr base::duration kAntiEntropy = milliseconds(1000);
constexpr base::duration kPlatformWriteLatency = milliseconds(100);
constexpr base::duration kMinDelay = milliseconds(1);
constexpr base::duration kMaxDelay = milliseconds(100);
constexpr double kDropProbability = 0.02;
constexpr double kDuplicateProbability = 0.02;

struct message {
  base::instant at;
  std::uint64_t order = 0;
  std::size_t target = 0;
  std::variant<decisions::evidence_report, move> body;

  bool operator>(const message& other) const {
    return std::tie(at, order) > std::tie(other.at, other.order);
  }
};

class fleet {
 public:
  explicit fleet(const move_strategy_options& options)
      : random_(options.seed ^ 0xF1EE7U), moves_(kNodes, options.value) {
    for (std::size_t node = 0; node < kNodes; ++node) {
      trackers_.emplace_back(decisions::move_tracker_options{
          .node_id = "n" + std::to_string(node),
          .data_centre = "dc" + std::to_string(node % kDataCentres),
          .incarnation = 1,
          .policy = options.policy,
          .is_evaluator = [](const std::string&) { return true; }});
      trackers_[node].SetMoves(std::span(&moves_[node], 1),
                               options.value.start);
      // Nodes tick at independent times, not at the same moment.
      next_tick_.push_back(options.value.start + milliseconds(random_.Below(
                                                     kTick / milliseconds(1))));
    }
    next_anti_entropy_ = options.value.start;
  }

  double Share(std::size_t node, base::instant now) const {
    return trackers_[node].MovedShare(moves_[node], now);
  }

  void Record(std::size_t node, const decisions::call_outcome& outcome,
              base::instant now) {
    trackers_[node].Record(outcome, now);
  }

  void Step(base::instant now) {
    Deliver(now);
    for (std::size_t node = 0; node < kNodes; ++node) {
      if (now < next_tick_[node]) continue;
      next_tick_[node] += kTick;
      ApplyEffects(node, trackers_[node].Tick(now), now);
    }
    if (now >= next_anti_entropy_) {
      next_anti_entropy_ += kAntiEntropy;
      for (std::size_t node = 0; node < kNodes; ++node) {
        Send(random_.Below(kNodes), moves_[node], now);
      }
    }
  }

  move_end_times EndTimes() const { return end_times_; }

 private:
  void ApplyEffects(std::size_t node, const decisions::move_effects& effects,
                    base::instant now) {
    for (const auto& report : effects.reports_to_send) Broadcast(report, now);
    for (const move& update : effects.updates) {
      ApplyAndBroadcast(node, update, now);
    }
    for (const move& rollback : effects.rollbacks) {
      if (!end_times_.rolled_back_at) end_times_.rolled_back_at = now;
      ApplyAndBroadcast(node, rollback, now);
    }
    if (!effects.ready.empty()) ready_.insert(node % kDataCentres);
    if (ready_.size() == kDataCentres && !end_times_.rolled_back_at &&
        !end_times_.done_at) {
      end_times_.done_at = now + kPlatformWriteLatency;
      move done = moves_[node];
      done.state = decisions::move_state::kDone;
      done.is_final = true;
      ApplyAndBroadcast(node, done, now + kPlatformWriteLatency);
    }
  }

  void ApplyAndBroadcast(std::size_t node, const move& value,
                         base::instant now) {
    MergeMove(node, value, now);
    Broadcast(value, now);
  }

  template <typename T>
  void Broadcast(const T& body, base::instant now) {
    for (std::size_t node = 0; node < kNodes; ++node) Send(node, body, now);
  }

  template <typename T>
  void Send(std::size_t target, const T& body, base::instant now) {
    if (random_.Unit() < kDropProbability) return;
    do {
      const base::duration delay =
          kMinDelay +
          base::duration(random_.Below((kMaxDelay - kMinDelay).count()));
      in_flight_messages_.push({now + delay, ++sent_, target, body});
    } while (random_.Unit() < kDuplicateProbability);
  }

  void Deliver(base::instant now) {
    while (!in_flight_messages_.empty() &&
           in_flight_messages_.top().at <= now) {
      const message next = in_flight_messages_.top();
      in_flight_messages_.pop();
      if (const auto* value = std::get_if<move>(&next.body)) {
        MergeMove(next.target, *value, now);
      } else {
        trackers_[next.target].Merge(
            std::get<decisions::evidence_report>(next.body), now);
      }
    }
  }

  void MergeMove(std::size_t node, const move& value, base::instant now) {
    move merged = decisions::Merge(moves_[node], value);
    if (merged == moves_[node]) return;
    moves_[node] = std::move(merged);
    trackers_[node].SetMoves(std::span(&moves_[node], 1), now);
  }

  split_mix random_;
  std::vector<move> moves_;
  std::vector<decisions::move_tracker> trackers_;
  std::vector<base::instant> next_tick_;
  base::instant next_anti_entropy_;
  std::priority_queue<message, std::vector<message>, std::greater<>>
      in_flight_messages_;
  std::uint64_t sent_ = 0;
  std::set<std::size_t> ready_;
  move_end_times end_times_;
};

}  // namespace

move_strategy MakeFireflysparStrategy(const move_strategy_options& options) {
  const auto made = std::make_shared<fleet>(options);
  return {
      .share = [made](std::size_t node,
                      base::instant now) { return made->Share(node, now); },
      .record = [made](std::size_t node, const decisions::call_outcome& outcome,
                       base::instant now) { made->Record(node, outcome, now); },
      .step = [made](base::instant now) { made->Step(now); },
      .end_times = [made] { return made->EndTimes(); }};
}

}  // namespace fireflyspar::lab
