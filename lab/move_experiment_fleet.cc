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
#include "lab/move_experiment_contender.h"
#include "lab/move_experiment_world.h"

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
  explicit fleet(const contender_options& options)
      : random_(options.seed ^ 0xF1EE7U), held_(kNodes, options.value) {
    for (std::size_t node = 0; node < kNodes; ++node) {
      trackers_.emplace_back(decisions::move_tracker_options{
          .node_id = "n" + std::to_string(node),
          .data_centre = "dc" + std::to_string(node % kDataCentres),
          .incarnation = 1,
          .policy = options.policy,
          .is_judge = [](const std::string&) { return true; }});
      trackers_[node].SetMoves(std::span(&held_[node], 1), options.value.start);
      // Nodes tick at independent times, not at the same moment.
      next_tick_.push_back(options.value.start + milliseconds(random_.Below(
                                                     kTick / milliseconds(1))));
    }
    next_anti_entropy_ = options.value.start;
  }

  double Share(std::size_t node, base::instant now) const {
    return trackers_[node].MovedShare(held_[node], now);
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
        Send(random_.Below(kNodes), held_[node], now);
      }
    }
  }

  move_fate Fate() const { return fate_; }

 private:
  void ApplyEffects(std::size_t node, const decisions::move_effects& effects,
                    base::instant now) {
    for (const auto& report : effects.reports_to_send) Broadcast(report, now);
    for (const move& update : effects.updates) Spread(node, update, now);
    for (const move& verdict : effects.verdicts) {
      if (!fate_.taken_back_at) fate_.taken_back_at = now;
      Spread(node, verdict, now);
    }
    if (!effects.ready.empty()) ready_.insert(node % kDataCentres);
    if (ready_.size() == kDataCentres && !fate_.taken_back_at &&
        !fate_.done_at) {
      fate_.done_at = now + kPlatformWriteLatency;
      move done = held_[node];
      done.state = decisions::move_state::kDone;
      done.is_final = true;
      Spread(node, done, now + kPlatformWriteLatency);
    }
  }

  void Spread(std::size_t node, const move& value, base::instant now) {
    Take(node, value, now);
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
      under_way_.push({now + delay, ++sent_, target, body});
    } while (random_.Unit() < kDuplicateProbability);
  }

  void Deliver(base::instant now) {
    while (!under_way_.empty() && under_way_.top().at <= now) {
      const message next = under_way_.top();
      under_way_.pop();
      if (const auto* value = std::get_if<move>(&next.body)) {
        Take(next.target, *value, now);
      } else {
        trackers_[next.target].Merge(
            std::get<decisions::evidence_report>(next.body), now);
      }
    }
  }

  void Take(std::size_t node, const move& value, base::instant now) {
    move merged = decisions::Merge(held_[node], value);
    if (merged == held_[node]) return;
    held_[node] = std::move(merged);
    trackers_[node].SetMoves(std::span(&held_[node], 1), now);
  }

  split_mix random_;
  std::vector<move> held_;
  std::vector<decisions::move_tracker> trackers_;
  std::vector<base::instant> next_tick_;
  base::instant next_anti_entropy_;
  std::priority_queue<message, std::vector<message>, std::greater<>> under_way_;
  std::uint64_t sent_ = 0;
  std::set<std::size_t> ready_;
  move_fate fate_;
};

}  // namespace

contender MakeFleet(const contender_options& options) {
  const auto made = std::make_shared<fleet>(options);
  return {
      .share = [made](std::size_t node,
                      base::instant now) { return made->Share(node, now); },
      .record = [made](std::size_t node, const decisions::call_outcome& outcome,
                       base::instant now) { made->Record(node, outcome, now); },
      .step = [made](base::instant now) { made->Step(now); },
      .fate = [made] { return made->Fate(); }};
}

}  // namespace fireflyspar::lab
