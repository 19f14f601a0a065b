#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>

#include "decisions/move_schedule.h"
#include "lab/move_experiment_strategy.h"

namespace fireflyspar::lab {
namespace {

constexpr int kFullSharePercent = 100;

// Returns the share that the schedule's ramp allows if the evidence justifies
// the full share. Once the bake is over, the move is done and its callers use
// the full share.
double RampShare(const move_strategy_options& options, base::instant now) {
  return decisions::AllowedShare(options.value, options.policy,
                                 {.proven_percent = kFullSharePercent}, now);
}

base::instant BakeEnd(const move_strategy_options& options) {
  return decisions::FullShareAt(options.value, options.policy) +
         options.policy.bake;
}

struct fixed_threshold {
  static constexpr base::duration kWindow = std::chrono::seconds(10);
  static constexpr std::uint64_t kMinCalls = 20;
  static constexpr double kMaxFailureRate = 0.05;

  struct call {
    base::instant at;
    bool failed;
  };

  move_strategy_options options;
  std::deque<call> calls;
  std::uint64_t failures = 0;
  move_end_times end_times;

  double Share(base::instant now) const {
    if (end_times.rolled_back_at) return 0;
    return end_times.done_at ? 1 : RampShare(options, now);
  }

  void Record(const decisions::call_outcome& outcome, base::instant now) {
    if (outcome.version != options.value.new_version) return;
    calls.push_back({now, outcome.failed});
    if (outcome.failed) ++failures;
  }

  void Step(base::instant now) {
    while (!calls.empty() && calls.front().at < now - kWindow) {
      if (calls.front().failed) --failures;
      calls.pop_front();
    }
    if (end_times.rolled_back_at || end_times.done_at) return;
    const auto count = static_cast<double>(calls.size());
    if (calls.size() >= kMinCalls &&
        static_cast<double>(failures) > kMaxFailureRate * count) {
      end_times.rolled_back_at = now;
    } else if (now >= BakeEnd(options)) {
      end_times.done_at = now;
    }
  }
};

}  // namespace

move_strategy MakeFixedThresholdStrategy(const move_strategy_options& options) {
  const auto made = std::make_shared<fixed_threshold>();
  made->options = options;
  return {.share = [made](std::size_t,
                          base::instant now) { return made->Share(now); },
          .record = [made](std::size_t, const decisions::call_outcome& outcome,
                           base::instant now) { made->Record(outcome, now); },
          .step = [made](base::instant now) { made->Step(now); },
          .end_times = [made] { return made->end_times; }};
}

move_strategy MakeNoEvaluatorStrategy(const move_strategy_options& options) {
  const auto end_times = std::make_shared<move_end_times>();
  return {.share =
              [options, end_times](std::size_t, base::instant now) {
                return end_times->done_at ? 1 : RampShare(options, now);
              },
          .record = [](std::size_t, const decisions::call_outcome&,
                       base::instant) {},
          .step =
              [options, end_times](base::instant now) {
                if (!end_times->done_at && now >= BakeEnd(options)) {
                  end_times->done_at = now;
                }
              },
          .end_times = [end_times] { return *end_times; }};
}

}  // namespace fireflyspar::lab
