#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>

#include "decisions/move_schedule.h"
#include "lab/move_experiment_contender.h"

namespace fireflyspar::lab {
namespace {

constexpr int kFullSharePercent = 100;

// Returns the share that the schedule's ramp allows, with every step cleared.
// Once the bake is over, the move is done and its callers use the full share.
double RampShare(const contender_options& options, base::instant now) {
  return decisions::AllowedShare(options.value, options.policy,
                                 {.cleared_percent = kFullSharePercent}, now);
}

base::instant BakeEnd(const contender_options& options) {
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

  contender_options options;
  std::deque<call> calls;
  std::uint64_t failures = 0;
  move_fate fate;

  double Share(base::instant now) const {
    if (fate.taken_back_at) return 0;
    return fate.done_at ? 1 : RampShare(options, now);
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
    if (fate.taken_back_at || fate.done_at) return;
    const auto count = static_cast<double>(calls.size());
    if (calls.size() >= kMinCalls &&
        static_cast<double>(failures) > kMaxFailureRate * count) {
      fate.taken_back_at = now;
    } else if (now >= BakeEnd(options)) {
      fate.done_at = now;
    }
  }
};

}  // namespace

contender MakeFixedThreshold(const contender_options& options) {
  const auto made = std::make_shared<fixed_threshold>();
  made->options = options;
  return {.share = [made](std::size_t,
                          base::instant now) { return made->Share(now); },
          .record = [made](std::size_t, const decisions::call_outcome& outcome,
                           base::instant now) { made->Record(outcome, now); },
          .step = [made](base::instant now) { made->Step(now); },
          .fate = [made] { return made->fate; }};
}

contender MakeNoJudge(const contender_options& options) {
  const auto fate = std::make_shared<move_fate>();
  return {.share =
              [options, fate](std::size_t, base::instant now) {
                return fate->done_at ? 1 : RampShare(options, now);
              },
          .record = [](std::size_t, const decisions::call_outcome&,
                       base::instant) {},
          .step =
              [options, fate](base::instant now) {
                if (!fate->done_at && now >= BakeEnd(options)) {
                  fate->done_at = now;
                }
              },
          .fate = [fate] { return *fate; }};
}

}  // namespace fireflyspar::lab
